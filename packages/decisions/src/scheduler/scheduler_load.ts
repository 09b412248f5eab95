import type {ScheduledCall} from './scheduled_call.js';
import type {SchedulerOptions} from './scheduler_options.js';
import type {SchedulerState} from './scheduler_state.js';
import {fairQueue} from './fair_queue.js';
import {prefillMeter} from './prefill_meter.js';
import type {RunningCall} from './running_call.js';

/** Maximum number of generated tokens that a latency estimate includes. */
const MAX_ESTIMATED_TOKENS = 16;

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

/** Memory in tokens of running calls that use no reservation. */
function runningTokens(state: SchedulerState): number {
  return sum(
    [...state.running.values()]
      .filter(run => run.call.reservationId === undefined)
      .map(run => run.call.totalTokens),
  );
}

function reservedTokens(state: SchedulerState, granted: boolean): number {
  return sum(
    [...state.reservations.values()]
      .filter(reservation => reservation.granted === granted)
      .map(reservation => reservation.tokens),
  );
}

/** Load figures and latency estimates from the state of a scheduler. */
export const schedulerLoad = {
  /** Running calls that have no token yet. */
  prefills,

  /** Milliseconds to prefill `tokens` prompt tokens at the measured rate. */
  prefillMs(state: SchedulerState, tokens: number): number {
    return (tokens / prefillMeter.tokensPerSecond(state.meter)) * MS_PER_SECOND;
  },

  /** Memory in tokens that no running call or granted reservation holds. */
  unallocatedTokens(state: SchedulerState, options: SchedulerOptions): number {
    return (
      options.memoryTokens - runningTokens(state) - reservedTokens(state, true)
    );
  },

  /** Memory in tokens for new calls, without that of pending reservations. */
  freeTokens(state: SchedulerState, options: SchedulerOptions): number {
    return (
      schedulerLoad.unallocatedTokens(state, options) -
      reservedTokens(state, false)
    );
  },

  /** Maximum number of calls that may run concurrently at present. */
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
   * Predicts the milliseconds until the first token of a new call. A short
   * call waits only for other short calls, since the engine runs them before
   * long prefills. Fair queueing slows a workspace that has queued calls down
   * to its share of the rate.
   */
  predictFirstTokenMs(state: SchedulerState, call: ScheduledCall): number {
    const delays = (other: ScheduledCall) =>
      call.callClass === 'long' || other.callClass !== 'long';
    const queued = fairQueue.calls(state.queue).filter(delays);
    const running = prefills(state)
      .map(run => run.call)
      .filter(delays);
    const sameWorkspace = queued.filter(
      other => other.workspace === call.workspace,
    );
    const workspaces = [call, ...queued].map(({workspace}) => workspace);
    const shareTokens = promptTokens(sameWorkspace) * new Set(workspaces).size;
    const ahead = Math.max(promptTokens(queued), shareTokens);
    const tokens = ahead + promptTokens(running) + call.promptTokens;
    return schedulerLoad.prefillMs(state, tokens);
  },

  /**
   * Milliseconds until the call's first tokens on an otherwise idle server, up
   * to MAX_ESTIMATED_TOKENS of them.
   */
  unloadedLatencyMs(state: SchedulerState, call: ScheduledCall): number {
    const generated = Math.min(
      MAX_ESTIMATED_TOKENS,
      call.totalTokens - call.promptTokens,
    );
    const intervalMs = state.coldStart.averageIntervalMs ?? 0;
    return (
      schedulerLoad.prefillMs(state, call.promptTokens) + generated * intervalMs
    );
  },

  /** As `unloadedLatencyMs`, but after the running prefills that aren't long. */
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
