import type {PriorityLevel} from './priority_level.js';

/** Factor by which a response of one level is worth more than the next. */
const WEIGHT_PER_LEVEL = 2;

/**
 * Weight of a response by its priority level: 1 for the least urgent level, and
 * for all responses where there is one level.
 */
export function levelWeight(priority?: PriorityLevel): number {
  if (!priority) return 1;
  return WEIGHT_PER_LEVEL ** (priority.levels - 1 - priority.level);
}
