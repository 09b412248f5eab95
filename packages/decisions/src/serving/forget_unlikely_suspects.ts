import type {CrashEvidenceState} from './crash_evidence_state.js';
import type {CrashSuspect} from './crash_suspect.js';
import {lastLossAt} from './last_loss_at.js';

/** Largest number of keys kept. */
const KEYS_MAX = 16_384;

/** Keys that are left at most once there are more, so that few losses need a sort. */
const KEYS_LEFT = 12_288;

type Entry = readonly [string, CrashSuspect];

/** Orders what is likelier to be to blame first. */
function compare(a: CrashSuspect, b: CrashSuspect): number {
  if (a.isBlocked !== b.isBlocked) return a.isBlocked ? -1 : 1;
  const moreLosses = b.losses.length - a.losses.length;
  return moreLosses || lastLossAt(b) - lastLossAt(a);
}

/** Number of ranked keys that are left; keys that are alike stay or go together. */
function countLeft(ranked: readonly Entry[]): number {
  const [, next] = ranked[KEYS_LEFT] ?? [];
  const isAlike = ([, suspect]: Entry) => next && compare(suspect, next) === 0;
  const first = ranked.findIndex(isAlike);
  return first > 0 ? Math.min(first, KEYS_LEFT) : KEYS_LEFT;
}

/**
 * Bounds the keys that are kept. What is blocked is forgotten last; then what was
 * there at more crashes, which a key that came by chance was not; then the newest.
 * No key outlives another one that was there at all of its crashes, unless more
 * keys than can be kept are alike.
 */
export function forgetUnlikelySuspects(
  state: CrashEvidenceState,
): CrashEvidenceState {
  const {suspects, forgotten} = state;
  if (suspects.size <= KEYS_MAX) return state;
  const ranked = [...suspects].sort(([, a], [, b]) => compare(a, b));
  const left = countLeft(ranked);
  return {
    ...state,
    suspects: new Map(ranked.slice(0, left)),
    forgotten: forgotten + suspects.size - left,
  };
}
