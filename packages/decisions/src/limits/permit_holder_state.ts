/** A gateway's permits for one backend server, and its need for more. */
export interface PermitHolderState {
  /** Gateway that the own share of the limit is leased to. */
  readonly issuer?: string;
  /** Monotonic time in milliseconds of the last message to the issuer. */
  readonly sentAt: number;
  /** Time in milliseconds of the issuer's last answer. */
  readonly heardAt: number;
  /** Permits that the issuer knows this gateway waits for. */
  readonly reported: number;
  /** Permits needed, until `wantedUntil`. */
  readonly wanted: number;
  readonly wantedUntil: number;
  /** Times in milliseconds until which each permit may be used. */
  readonly permits: readonly number[];
  /** Permits used, given back, and requests without one, not yet reported. */
  readonly used: number;
  readonly returned: number;
  readonly unpermitted: number;
  /** The issuer's last word on other gateways and on its rate. */
  readonly othersWaiting: number;
  readonly perSecond?: number;
}
