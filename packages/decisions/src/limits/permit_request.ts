/**
 * What a gateway tells the issuer of a server's permits. Each message also
 * leases the gateway's share of the limit to the issuer for a time.
 */
export interface PermitRequest {
  readonly serverId: string;
  /** Start of the server's process, in Unix milliseconds. */
  readonly processStartedAt?: number;
  /** Permits that the gateway could use now, beyond those it holds. */
  readonly waiting: number;
  /** Permits used since the last message. */
  readonly used: number;
  /** Permits given back unused since the last message. */
  readonly returned: number;
  /** Requests sent without a permit since the last message. */
  readonly unpermitted: number;
}
