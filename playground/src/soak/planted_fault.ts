/** A fault that is planted so that a check reports it. */
export type PlantedFault =
  /** Callers' connections end instead of the response. */
  | 'drop-answer'
  /** Callers' connections end after the first bytes of the body. */
  | 'cut-answer'
  /** Servers name request rates, but their responses do not say so. */
  | 'unsaid-limit'
  /** A gateway ends by a signal of which the harness knows nothing. */
  | 'unasked-end'
  /** Machines have less memory than any gateway needs. */
  | 'small-memory';
