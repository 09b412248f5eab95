/** The bounds on what a gateway may rely on. */
export interface RelayedCopyBounds {
  /** Milliseconds after which a copy has to be known whole again. */
  readonly maxAgeMs: number;
  /** Milliseconds between own calls in an outage in which relays report. */
  readonly probeMs: number;
}
