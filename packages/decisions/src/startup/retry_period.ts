import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {RetryPeriodCommand} from './retry_period_command.js';
import type {RetryPeriodEvent} from './retry_period_event.js';
import type {RetryTiming} from './retry_timing.js';

interface RetryPeriodState {
  /** Time in milliseconds of the first attempt. */
  readonly startedAt: number;
  readonly failures: number;
}

interface RetryPeriodStep {
  readonly state: RetryPeriodState;
  readonly commands: readonly RetryPeriodCommand[];
}

const HANDLERS: EventHandlers<
  RetryPeriodState,
  RetryPeriodEvent,
  RetryPeriodStep,
  readonly [RetryTiming, number]
> = {
  failed: (state, {reason}, {intervalMs, retryForMs}, now) => {
    const tookMs = now - state.startedAt;
    const next = {...state, failures: state.failures + 1};
    if (tookMs >= retryForMs) {
      return {state: next, commands: [{type: 'give-up', reason, tookMs}]};
    }
    const delayMs = Math.min(intervalMs, retryForMs - tookMs);
    const tryAgain = {type: 'try-again', delayMs} as const;
    const isFirst = state.failures === 0;
    return {
      state: next,
      commands: isFirst
        ? [{type: 'report-failure', reason}, tryAgain]
        : [tryAgain],
    };
  },
  succeeded: (state, _event, _timing, now) => {
    const tookMs = now - state.startedAt;
    const hasFailed = state.failures > 0;
    return {
      state,
      commands: hasFailed ? [{type: 'report-success', tookMs}] : [],
    };
  },
};

/**
 * Decides whether something that depends on the outside is tried again: for a
 * stated time, with one report of the first failure and one of the outcome.
 */
export const retryPeriod = {
  start(now: number): RetryPeriodState {
    return {startedAt: now, failures: 0};
  },

  step(
    state: RetryPeriodState,
    event: RetryPeriodEvent,
    timing: RetryTiming,
    now: number,
  ): RetryPeriodStep {
    return handleEvent(HANDLERS, state, event, timing, now);
  },
};
