/** A backend server as service discovery lists it. */
export interface BackendServer {
  /** Unique for one lifetime of the server, save for restarts in place. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly state: 'ready' | 'draining';
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Steady time in milliseconds until which the server is cold. */
  readonly coldUntil: number;
  /** Start of the server's process, in Unix milliseconds. */
  readonly processStartedAt?: number;
}
