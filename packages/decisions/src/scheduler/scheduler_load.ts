import type {ScheduledCall} from './scheduled_call.js';
import type {SchedulerOptions} from './scheduler_options.js';
import type {SchedulerState} from './scheduler_state.js';
import {fairQueue} from './fair_queue.js';
import {prefillMeter} from './prefill_meter.js';
import type {RunningCall} from './running_call.js';

/** Generated tokens that a call is counted with at the most. */
const COUNTED_TOKENS = 16;

const MS_PER_SECOND = 1_000;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function prefills(state: SchedulerState): RunningCall[] {
  return [...state.running.values()].filter(
    run => run.firstTokenAt === undefined,
  );
}

function promptTokens(calls: readonly ScheduledCall[]): number {
  return sum(calls.map(call => call.promptTokens));
}

function callTokens(state: SchedulerState): number {
  return sum(
    [...state.running.values()]
      .filter(run => run.call.reservationId === undefined)
      .map(run => run.call.totalTokens),
  );
}

function reserved(state: SchedulerState, granted: boolean): number {
  return sum(
    [...state.reservations.values()]
      .filter(reservation => reservation.granted === granted)
      .map(reservation => reservation.tokens),
  );
}

/** Figures that follow from the state of a door. */
export const schedulerLoad = {
  /** Calls whose prompt is being prefilled. */
  prefills,

  /** Time in milliseconds of prefilling tokens at the measured rate. */
  prefillMs(state: SchedulerState, tokens: number): number {
    return (tokens / prefillMeter.tokensPerSecond(state.meter)) * MS_PER_SECOND;
  },

  /** Tokens that no running call and no granted reservation holds. */
  unallocatedTokens(state: SchedulerState, options: SchedulerOptions): number {
    return options.memoryTokens - callTokens(state) - reserved(state, true);
  },

  /** Tokens that a new call may take. */
  freeTokens(state: SchedulerState, options: SchedulerOptions): number {
    return (
      schedulerLoad.unallocatedTokens(state, options) - reserved(state, false)
    );
  },

  /** Largest number of calls that may run now. */
  runningLimit(state: SchedulerState): number {
    return Math.min(state.coldStart.limit, state.serverStatus.zoneLimitShare);
  },

  /** Prompt tokens that are queued or being prefilled. */
  pendingTokens(state: SchedulerState): number {
    const prefilling = prefills(state).map(run => run.call.promptTokens);
    return state.queue.tokens + sum(prefilling);
  },

  /** Prompt tokens of calls that are not long, queued or being prefilled. */
  pendingShortTokens(state: SchedulerState): number {
    const prefilling = prefills(state).map(run => run.call);
    const calls = [...fairQueue.calls(state.queue), ...prefilling];
    return promptTokens(calls.filter(call => call.callClass !== 'long'));
  },

  /**
   * Predicts in milliseconds when a new call has its first token. A short
   * call waits for short work alone, since it passes long prefills. A
   * workspace that has calls queued gets only its share of the rate.
   */
  predictFirstTokenMs(state: SchedulerState, call: ScheduledCall): number {
    const counts = (other: ScheduledCall) =>
      call.callClass === 'long' || other.callClass !== 'long';
    const queued = fairQueue.calls(state.queue).filter(counts);
    const running = prefills(state)
      .map(run => run.call)
      .filter(counts);
    const own = queued.filter(other => other.workspace === call.workspace);
    const names = [call, ...queued].map(({workspace}) => workspace);
    const byShare = promptTokens(own) * new Set(names).size;
    const ahead = Math.max(promptTokens(queued), byShare);
    const tokens = ahead + promptTokens(running) + call.promptTokens;
    return schedulerLoad.prefillMs(state, tokens);
  },

  /** Time in milliseconds until a call alone has its first tokens. */
  unloadedLatencyMs(state: SchedulerState, call: ScheduledCall): number {
    const generated = Math.min(
      COUNTED_TOKENS,
      call.totalTokens - call.promptTokens,
    );
    const intervalMs = state.coldStart.usualIntervalMs ?? 0;
    return (
      schedulerLoad.prefillMs(state, call.promptTokens) + generated * intervalMs
    );
  },

  /** The same for a queued call that is dispatched after running prefills. */
  minLatencyMs(state: SchedulerState, call: ScheduledCall): number {
    const ahead = prefills(state)
      .map(run => run.call)
      .filter(other => other.callClass !== 'long');
    return (
      schedulerLoad.prefillMs(state, promptTokens(ahead)) +
      schedulerLoad.unloadedLatencyMs(state, call)
    );
  },
};
