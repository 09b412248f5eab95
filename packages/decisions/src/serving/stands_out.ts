import type {CrashEvidenceState} from './crash_evidence_state.js';
import type {CrashSuspect} from './crash_suspect.js';
import {recurringSuspects} from './recurring_suspects.js';

/** Rounds of losses after which a key that stands out is blocked. */
const BLOCK_AFTER_ROUNDS = 3;

/** Rounds of losses after which a key is blocked, though others fit as well. */
const BLOCK_ALL_AFTER_ROUNDS = 5;

type Suspects = CrashEvidenceState['suspects'];

function roundsOf({losses}: CrashSuspect) {
  return losses.filter(({startsRound}) => startsRound);
}

function crashesOf({losses}: CrashSuspect): ReadonlySet<string> {
  return new Set(losses.map(({crashId}) => crashId));
}

/** What other keys have that were there at all losses of this one. */
function othersThatFit(
  suspects: Suspects,
  suspect: CrashSuspect,
): readonly CrashSuspect[] {
  const crashes = [...crashesOf(suspect)];
  return [...recurringSuspects(suspects)].flatMap(([known, keys]) => {
    if (known === suspect) return keys > 1 ? [known] : [];
    if (known.losses.length < crashes.length) return [];
    const others = crashesOf(known);
    return crashes.every(crashId => others.has(crashId)) ? [known] : [];
  });
}

/**
 * True if another key that fits is the likelier culprit: it was there at more
 * losses, or no server has begun to answer it, as servers have this one.
 */
function isLikelier(other: CrashSuspect, suspect: CrashSuspect): boolean {
  return (
    other.losses.length > suspect.losses.length ||
    (suspect.hasBegun && !other.hasBegun)
  );
}

/**
 * True if servers were lost meanwhile that ran neither this key nor a blocked
 * one. Servers then crash without it, so it may be there by chance.
 */
function areOthersLost(
  {suspects, crashedAt}: CrashEvidenceState,
  suspect: CrashSuspect,
): boolean {
  const since = roundsOf(suspect).at(-BLOCK_AFTER_ROUNDS)?.at ?? -Infinity;
  const recurring = [...recurringSuspects(suspects).keys()];
  const blocked = recurring.filter(({isBlocked}) => isBlocked);
  const accounted = new Set(
    [suspect, ...blocked].flatMap(known => [...crashesOf(known)]),
  );
  return [...crashedAt].some(
    ([crashId, at]) => at >= since && !accounted.has(crashId),
  );
}

/**
 * True if what a key has makes it to blame for the losses of servers. A server that
 * crashes takes all of its requests with it, and several may meet again at the
 * next one, so no other key must fit as well, and no server be lost without this one.
 */
export function standsOut(
  state: CrashEvidenceState,
  suspect: CrashSuspect,
): boolean {
  const rounds = roundsOf(suspect).length;
  if (rounds < BLOCK_AFTER_ROUNDS) return false;
  const others = othersThatFit(state.suspects, suspect);
  if (rounds >= BLOCK_ALL_AFTER_ROUNDS) {
    return !others.some(other => isLikelier(other, suspect));
  }
  return others.length === 0 && !areOthersLost(state, suspect);
}
