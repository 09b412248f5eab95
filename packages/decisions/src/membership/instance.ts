/** One node of figfall in the platform's list of instances. */
export interface Instance {
  readonly id: string;
  readonly role: 'entry' | 'agent';
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly zone: string;
  /** Backend server beside an agent. */
  readonly backendServer?: string;
  readonly state: 'live' | 'leaving';
}
