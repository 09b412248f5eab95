import {monotonicNow} from './monotonic_now.js';

/** Milliseconds within which a poll has read all that matters to a timer. */
const QUICK_POLL_MS = 10;

/** Polls after which an action runs even if none of them was quick. */
const POLLS_MAX = 4;

/**
 * Runs an action once the event loop has read what has arrived until now. Timers
 * run before the poll, so after a pause of the loop an action among them would
 * take unread bytes for silence.
 */
export function runAfterPoll(action: () => void, polls = 1): void {
  const startedAt = monotonicNow();
  setImmediate(() => {
    const isQuick = monotonicNow() - startedAt < QUICK_POLL_MS;
    if (isQuick || polls >= POLLS_MAX) return action();
    runAfterPoll(action, polls + 1);
  });
}
