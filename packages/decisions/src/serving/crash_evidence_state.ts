import type {CrashEvidenceLimits} from './crash_evidence_limits.js';
import type {CrashSuspect} from './crash_suspect.js';

/** Lost servers, and the keys of the requests that they ran. */
export interface CrashEvidenceState {
  readonly limits: CrashEvidenceLimits;
  readonly suspects: ReadonlyMap<string, CrashSuspect>;
  /** Time in milliseconds at which each server was lost. */
  readonly lostAt: ReadonlyMap<string, number>;
}
