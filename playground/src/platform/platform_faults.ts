/** Faults of the stand-in platform that a test can switch. */
export interface PlatformFaults {
  /** Refuses every call of the object API. */
  down: boolean;
  /** Refuses every read of the list of instances. */
  listDown: boolean;
  /** Milliseconds added to each answer. */
  delayMs: number;
  /** Number of next writes that take effect but are never answered. */
  loseAnswers: number;
  /** Calls a second beyond which calls are refused; 0 for no limit. */
  callsPerSecond: number;
  /** Milliseconds by which the list of instances lags. */
  instanceLagMs: number;
}
