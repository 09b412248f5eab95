import type {PromptPlacement} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';

/** Shortest limit in milliseconds, below the 4 s in which memory must be free. */
const MIN_MS = 3_500;

/**
 * Milliseconds of silence after which an attempt that has reserved memory on
 * other servers ends, although no other attempt has answered. If its own server
 * has lost the request, nobody uses that memory.
 */
export function heldMemoryTimeoutMs({
  firstEventMs,
}: Pick<PromptPlacement, 'firstEventMs'>): number {
  return Math.max(MIN_MS, firstEventMs * GATEWAY.PREDICTED_SILENCE_FACTOR);
}
