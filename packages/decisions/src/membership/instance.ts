/** A figfall process in the platform's list of instances. */
export interface Instance {
  readonly id: string;
  readonly role: 'entry' | 'agent';
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly zone: string;
  /** Backend server that an agent runs next to; undefined for an entry. */
  readonly backendServer?: string;
  /** `leaving` while the platform shuts the instance down. */
  readonly state: 'live' | 'leaving';
}
