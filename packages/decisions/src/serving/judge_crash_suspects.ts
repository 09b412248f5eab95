import type {CrashEvidenceState} from './crash_evidence_state.js';
import {isSettled} from './is_settled.js';
import {standsOut} from './stands_out.js';

/**
 * Blocks the keys that are to blame. What fits no better than others is cleared
 * by its answer, or blocked later.
 */
export function judgeCrashSuspects(
  state: CrashEvidenceState,
  now: number,
): CrashEvidenceState {
  const guilty = [...state.suspects].filter(
    ([key, suspect]) =>
      !suspect.isBlocked &&
      isSettled(suspect, now) &&
      standsOut(state, key, suspect),
  );
  if (guilty.length === 0) return state;
  const suspects = new Map(state.suspects);
  guilty.forEach(([key, suspect]) =>
    suspects.set(key, {...suspect, isBlocked: true}),
  );
  // What they account for may make others stand out.
  return judgeCrashSuspects({...state, suspects}, now);
}
