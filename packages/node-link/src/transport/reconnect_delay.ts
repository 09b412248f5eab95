import {LINK} from '../constants.js';

/**
 * Returns the milliseconds to wait before connecting again: exponential
 * backoff with full jitter over its upper half.
 */
export function reconnectDelay(failures: number, random: () => number): number {
  const exponential = LINK.RECONNECT_MIN_MS * 2 ** Math.min(failures - 1, 10);
  const ceiling = Math.min(LINK.RECONNECT_MAX_MS, exponential);
  return ceiling * (0.5 + random() / 2);
}
