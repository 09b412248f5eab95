import {Effect} from 'effect';
import type {Scope} from 'effect';
import {monotonicNow} from './monotonic_now.js';
import {reportDefect} from './report_defect.js';
import {runAfterPoll} from './run_after_poll.js';

interface RepeatOptions {
  /** Milliseconds between runs while they are needed. */
  readonly intervalMs: number;
  /** Milliseconds between runs otherwise. */
  readonly idleMs: number;
  /** Asked after each run. */
  readonly isNeeded: () => boolean;
  /** Gets the milliseconds by which the run is late. */
  readonly action: (delayMs: number) => void;
}

/** An action that is repeated on demand. */
interface RepeatedAction {
  /** Called when the action may be needed again: the next run is then one interval later, at most. */
  readonly wake: () => void;
  /** Milliseconds by which the next run is late, and the event loop with it. */
  readonly lateMs: () => number;
}

function startTimer(
  options: RepeatOptions,
): RepeatedAction & {stop: () => void} {
  const {intervalMs, idleMs, isNeeded, action} = options;
  let isStopped = false;
  let isIdle = false;
  let dueAt = 0;
  let timer: NodeJS.Timeout | undefined;
  const schedule = (): void => {
    if (isStopped) return;
    const waitMs = isIdle ? idleMs : intervalMs;
    clearTimeout(timer);
    dueAt = monotonicNow() + waitMs;
    timer = setTimeout(() => runAfterPoll(runOnce), waitMs);
  };
  const runOnce = (): void => {
    if (isStopped) return;
    try {
      action(Math.max(0, monotonicNow() - dueAt));
      isIdle = !isNeeded();
    } catch (error) {
      reportDefect(error);
    }
    schedule();
  };
  schedule();
  return {
    wake: () => {
      if (!isIdle) return;
      isIdle = false;
      schedule();
    },
    lateMs: () => Math.max(0, monotonicNow() - dueAt),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}

/**
 * Runs an action like `repeatEvery`, but seldom while it is not needed, as each
 * wake-up costs processor time.
 */
export function repeatOnDemand(
  options: RepeatOptions,
): Effect.Effect<RepeatedAction, never, Scope.Scope> {
  const start = Effect.sync(() => startTimer(options));
  return Effect.acquireRelease(start, ({stop}) => Effect.sync(stop));
}
