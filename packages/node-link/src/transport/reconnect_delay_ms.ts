import {LINK} from '../constants.js';

/**
 * Returns the milliseconds to wait before reconnecting: exponential backoff
 * with jitter over the upper half. `consecutiveFailures` starts at 1.
 */
export function reconnectDelayMs(
  consecutiveFailures: number,
  random: () => number,
): number {
  const exponential =
    LINK.INITIAL_RECONNECT_DELAY_MS *
    2 ** Math.min(consecutiveFailures - 1, 10);
  const ceiling = Math.min(LINK.MAX_RECONNECT_DELAY_MS, exponential);
  return ceiling * (0.5 + random() / 2);
}
