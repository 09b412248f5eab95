/** Faults of the fake platform, which tests and `/control` can change. */
export interface PlatformFaults {
  /** Responds with status 503 to every call of the object API. */
  down: boolean;
  /** Responds with status 503 to every read of the instance list. */
  listDown: boolean;
  /** Milliseconds added before each response. */
  delayMs: number;
  /** Number of coming writes that take effect but get no response. */
  loseAnswers: number;
  /** Calls per second above which calls get status 429; 0 means no limit. */
  callsPerSecond: number;
  /** Delay with which changes appear in the instance list. */
  instanceLagMs: number;
}
