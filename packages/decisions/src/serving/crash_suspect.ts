/** The loss of a server that ran a request with a key. */
interface SuspectLoss {
  readonly crashId: string;
  /** Time in milliseconds. */
  readonly at: number;
  /** False for a loss beside an earlier one, which may have the same cause. */
  readonly startsRound: boolean;
}

/** A key under which servers were lost and no request was answered since. */
export interface CrashSuspect {
  readonly losses: readonly SuspectLoss[];
  /** True if one of the lost requests had begun to be answered. */
  readonly hasBegun: boolean;
  /** Time in milliseconds of the last round or trial. */
  readonly updatedAt: number;
  /** True if requests with the key are refused. */
  readonly isBlocked: boolean;
  /** Times that a request was let through since the key is blocked. */
  readonly trials: number;
}
