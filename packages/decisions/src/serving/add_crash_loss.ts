import type {CrashLoss} from './crash_loss.js';
import type {CrashSuspect} from './crash_suspect.js';

/** Milliseconds between losses that may have the same cause. */
const ROUND_MS = 500;

/** Largest number of losses kept for a key; each may be one of many in a round. */
const LOSSES_MAX = 64;

/** Drops the oldest loss beside others, as rounds are what is counted. */
function withoutSurplus(
  losses: CrashSuspect['losses'],
): CrashSuspect['losses'] {
  if (losses.length <= LOSSES_MAX) return losses;
  const beside = losses.findIndex(({startsRound}) => !startsRound);
  return losses.toSpliced(Math.max(0, beside), 1);
}

/** The suspect after one more loss; the same one for a crash that it knows. */
export function addCrashLoss(
  suspect: CrashSuspect,
  {crashId, heldMs, hadEvents = false}: CrashLoss,
  now: number,
): CrashSuspect {
  const {losses, updatedAt} = suspect;
  const hasBegun = suspect.hasBegun || hadEvents;
  if (losses.some(loss => loss.crashId === crashId)) {
    return hasBegun === suspect.hasBegun ? suspect : {...suspect, hasBegun};
  }
  const wasSentLater = now - heldMs >= updatedAt;
  const startsRound = wasSentLater || now - updatedAt >= ROUND_MS;
  const loss = {crashId, at: now, startsRound};
  return {
    ...suspect,
    hasBegun,
    losses: withoutSurplus([...losses, loss]),
    updatedAt: startsRound ? now : updatedAt,
  };
}
