/** A backend server in service discovery. */
export interface BackendServer {
  /** Changes with each new server, but not when a server restarts in place. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly state: 'ready' | 'draining';
  /** Requests that the server can run concurrently. */
  readonly slots: number;
  /** Monotonic time in milliseconds until which the server is cold. */
  readonly coldUntil: number;
  /** Start time of the server's process, in Unix milliseconds. */
  readonly processStartedAt?: number;
}
