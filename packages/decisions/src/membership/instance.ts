/** A figfall process in the platform's list of instances. */
export interface Instance {
  readonly id: string;
  readonly role: 'entry' | 'agent';
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly zone: string;
  /** Name of the backend server that an agent stands beside. */
  readonly backendServer?: string;
  /** `leaving` from the time at which the platform lists it as shutting down. */
  readonly state: 'live' | 'leaving';
}
