/** An issuer's answer to a gateway that waits for a server's permits. */
export interface PermitGrant {
  readonly serverId: string;
  /** Start of the server's process, in Unix milliseconds. */
  readonly processStartedAt?: number;
  /** Permits for one request each; may be 0. */
  readonly count: number;
  /** Permits that all other gateways wait for. */
  readonly othersWaiting: number;
  /** Permits a second that the issuer can hand out, with the shares it has. */
  readonly perSecond: number;
}
