import type {CrashEvidenceState} from './crash_evidence_state.js';
import type {CrashSuspect} from './crash_suspect.js';

/** Largest number of keys kept. */
const KEYS_MAX = 16_384;

/** Keys that are left once there are more, so that few losses need a sort. */
const KEYS_LEFT = 12_288;

function lastLossAt({losses}: CrashSuspect): number {
  return losses.at(-1)?.at ?? -Infinity;
}

/** Orders what is likelier to be to blame first. */
function compare(a: CrashSuspect, b: CrashSuspect): number {
  if (a.isBlocked !== b.isBlocked) return a.isBlocked ? -1 : 1;
  const moreLosses = b.losses.length - a.losses.length;
  return moreLosses || lastLossAt(b) - lastLossAt(a);
}

/**
 * Bounds the keys that are kept. What is blocked is forgotten last; then what was
 * there at more crashes, which a key that came by chance was not; then the newest.
 * No key outlives another one that was there at all of its crashes.
 */
export function forgetUnlikelySuspects(
  state: CrashEvidenceState,
): CrashEvidenceState {
  const {suspects, forgotten} = state;
  if (suspects.size <= KEYS_MAX) return state;
  const ranked = [...suspects].sort(([, a], [, b]) => compare(a, b));
  return {
    ...state,
    suspects: new Map(ranked.slice(0, KEYS_LEFT)),
    forgotten: forgotten + suspects.size - KEYS_LEFT,
  };
}
