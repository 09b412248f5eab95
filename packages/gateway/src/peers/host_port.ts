/** Host and port that a server listens on. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}
