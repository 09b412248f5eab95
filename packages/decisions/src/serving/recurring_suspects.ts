import type {CrashEvidenceState} from './crash_evidence_state.js';
import type {CrashSuspect} from './crash_suspect.js';

type Suspects = CrashEvidenceState['suspects'];

type KeyCounts = ReadonlyMap<CrashSuspect, number>;

/** Crashes after which a suspect is told apart from what was there by chance. */
const RECURRING_CRASHES = 2;

const countsOf = new WeakMap<Suspects, KeyCounts>();

function countKeys(suspects: Suspects): KeyCounts {
  const counts = new Map<CrashSuspect, number>();
  suspects.forEach(suspect => {
    const isRecurring = suspect.losses.length >= RECURRING_CRASHES;
    if (!isRecurring && !suspect.isBlocked) return;
    counts.set(suspect, (counts.get(suspect) ?? 0) + 1);
  });
  return counts;
}

/**
 * The suspects of several crashes, and blocked ones, with the number of keys that
 * share each: keys that were always lost together have one suspect. It is computed
 * once for each map, since every request asks for it.
 */
export function recurringSuspects(suspects: Suspects): KeyCounts {
  const known = countsOf.get(suspects);
  if (known) return known;
  const counts = countKeys(suspects);
  countsOf.set(suspects, counts);
  return counts;
}
