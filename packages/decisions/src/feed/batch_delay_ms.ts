/**
 * Milliseconds within which changes are batched on each way. A start is known
 * in its zone after at most the windows of its owner and of the relay, 15 ms.
 * The relay gets the larger part, as it sends each batch to many gateways.
 */
const WINDOW_MS = {owner: 1, relay: 14};

/**
 * Milliseconds until the next batch is sent: at once if none was sent within
 * the window, so that only frequent changes are delayed.
 */
export function batchDelayMs(
  sender: keyof typeof WINDOW_MS,
  lastSentAt: number,
  now: number,
): number {
  return Math.max(0, Math.ceil(lastSentAt + WINDOW_MS[sender] - now));
}
