import type {CrashSuspect} from './crash_suspect.js';

/** Time in milliseconds of a suspect's last loss; -Infinity without one. */
export function lastLossAt({losses}: CrashSuspect): number {
  return losses.at(-1)?.at ?? -Infinity;
}
