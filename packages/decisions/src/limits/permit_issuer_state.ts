/** A gateway's share of a server's limit, as leased to the issuer. */
interface ShareLease {
  /** Monotonic time in milliseconds. */
  readonly until: number;
  /** Permits that the gateway waits for. */
  readonly waiting: number;
  /** Permits handed out and not known to be used or given back. */
  readonly outstanding: number;
  /** Time of the last permit handed out, in milliseconds. */
  readonly issuedAt: number;
  /** Number of the last permit handed out; gateways take turns by it. */
  readonly lastTurn: number;
}

/** State of the issuer of one server's permits. */
export interface PermitIssuerState {
  /** Permits that may be handed out; below 0 after unpermitted requests. */
  readonly tokens: number;
  /** Monotonic time in milliseconds of the last refill. */
  readonly updatedAt: number;
  /** Leased shares by the id of their gateway. */
  readonly shares: ReadonlyMap<string, ShareLease>;
  readonly turns: number;
}
