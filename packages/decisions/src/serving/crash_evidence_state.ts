import type {CrashEvidenceLimits} from './crash_evidence_limits.js';
import type {CrashSuspect} from './crash_suspect.js';

/** Crashes of servers, and the keys of the requests that they ran. */
export interface CrashEvidenceState {
  readonly limits: CrashEvidenceLimits;
  readonly suspects: ReadonlyMap<string, CrashSuspect>;
  /** Time in milliseconds of each crash, by its id. */
  readonly crashedAt: ReadonlyMap<string, number>;
  /** Time in milliseconds of the last loss. */
  readonly lastLossAt: number;
  /** Number of keys that were dropped since there were too many. */
  readonly forgotten: number;
}
