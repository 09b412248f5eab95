/** The gateways among which the limits of servers are shared. */
export interface PermitGateways {
  /** Ids of the gateways that messages can be sent to. */
  readonly linked: readonly string[];
  /** Number of gateways that have a share, this one and unlinked ones too. */
  readonly total: number;
}
