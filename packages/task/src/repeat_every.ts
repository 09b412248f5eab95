import {Effect} from 'effect';
import type {Scope} from 'effect';
import {reportDefect} from './report_defect.js';
import {runAfterPoll} from './run_after_poll.js';

/** Starts the timer and returns a function that stops it. */
function startTimer(intervalMs: number, action: () => void): () => void {
  let isStopped = false;
  const runOnce = (): void => {
    if (isStopped) return;
    try {
      action();
    } catch (error) {
      reportDefect(error);
    }
    if (!isStopped) timer.refresh();
  };
  const timer = setTimeout(() => runAfterPoll(runOnce), intervalMs);
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
}

/**
 * Runs an action every `intervalMs` milliseconds until the scope is closed, each
 * time once what has arrived is read; the first run is after one interval. If a
 * run throws, that is reported, and the next ones go on. A plain timer takes
 * half of the processor time of a fiber that sleeps.
 */
export function repeatEvery(
  intervalMs: number,
  action: () => void,
): Effect.Effect<void, never, Scope.Scope> {
  const start = Effect.sync(() => startTimer(intervalMs, action));
  return Effect.asVoid(Effect.acquireRelease(start, stop => Effect.sync(stop)));
}
