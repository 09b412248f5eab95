import type {CrashEvidenceState} from './crash_evidence_state.js';
import type {CrashSuspect} from './crash_suspect.js';
import {isSettled} from './is_settled.js';
import {lastLossAt} from './last_loss_at.js';
import {recurringSuspects} from './recurring_suspects.js';
import {standsOut} from './stands_out.js';

/**
 * Blocks the keys that are to blame. What fits no better than others is cleared
 * by its answer, or blocked later.
 */
export function judgeCrashSuspects(
  state: CrashEvidenceState,
  now: number,
): CrashEvidenceState {
  const isGuilty = (suspect: CrashSuspect) =>
    !suspect.isBlocked &&
    isSettled(lastLossAt(suspect), now) &&
    standsOut(state, suspect);
  const recurring = [...recurringSuspects(state.suspects).keys()];
  const blocked = new Map(
    recurring
      .filter(isGuilty)
      .map(suspect => [suspect, {...suspect, isBlocked: true}]),
  );
  if (blocked.size === 0) return state;
  const suspects = [...state.suspects].map(
    ([key, suspect]) => [key, blocked.get(suspect) ?? suspect] as const,
  );
  // What they account for may make others stand out.
  return judgeCrashSuspects({...state, suspects: new Map(suspects)}, now);
}
