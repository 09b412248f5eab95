import type {DoorCall} from './door_call.js';
import type {DoorOptions} from './door_options.js';
import type {DoorState} from './door_state.js';
import {fairQueue} from './fair_queue.js';
import {prefillMeter} from './prefill_meter.js';
import type {RunningCall} from './running_call.js';

/** Generated tokens that a call is counted with at the most. */
const COUNTED_TOKENS = 16;

const MS_PER_SECOND = 1_000;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function prefills(state: DoorState): RunningCall[] {
  return [...state.running.values()].filter(
    run => run.firstTokenAt === undefined,
  );
}

function promptTokens(calls: readonly DoorCall[]): number {
  return sum(calls.map(call => call.promptTokens));
}

function callTokens(state: DoorState): number {
  return sum(
    [...state.running.values()]
      .filter(run => run.call.reservationId === undefined)
      .map(run => run.call.totalTokens),
  );
}

function reserved(state: DoorState, granted: boolean): number {
  return sum(
    [...state.reservations.values()]
      .filter(reservation => reservation.granted === granted)
      .map(reservation => reservation.tokens),
  );
}

/** Figures that follow from the state of a door. */
export const doorLoad = {
  /** Calls whose prompt is being prefilled. */
  prefills,

  /** Time in milliseconds of prefilling tokens at the measured rate. */
  prefillMs(state: DoorState, tokens: number): number {
    return (tokens / prefillMeter.rate(state.meter)) * MS_PER_SECOND;
  },

  /** Tokens that no running call and no granted reservation holds. */
  unheldTokens(state: DoorState, options: DoorOptions): number {
    return options.totalTokens - callTokens(state) - reserved(state, true);
  },

  /** Tokens that a new call may take. */
  freeTokens(state: DoorState, options: DoorOptions): number {
    return doorLoad.unheldTokens(state, options) - reserved(state, false);
  },

  /** Largest number of calls that may run now. */
  runningLimit(state: DoorState): number {
    return Math.min(state.coldStart.limit, state.condition.zoneShare);
  },

  /** Prompt tokens that are queued or being prefilled. */
  pendingTokens(state: DoorState): number {
    const prefilling = prefills(state).map(run => run.call.promptTokens);
    return state.queue.tokens + sum(prefilling);
  },

  /** Prompt tokens of calls that are not long, queued or being prefilled. */
  pendingShortTokens(state: DoorState): number {
    const prefilling = prefills(state).map(run => run.call);
    const calls = [...fairQueue.calls(state.queue), ...prefilling];
    return promptTokens(calls.filter(call => call.callClass !== 'long'));
  },

  /**
   * Predicts in milliseconds when a new call has its first token. A short
   * call waits for short work alone, since it passes long prefills. A
   * workspace that has calls queued gets only its share of the rate.
   */
  firstTokenMs(state: DoorState, call: DoorCall): number {
    const counts = (other: DoorCall) =>
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
    return doorLoad.prefillMs(state, tokens);
  },

  /** Time in milliseconds until a call alone has its first tokens. */
  aloneMs(state: DoorState, call: DoorCall): number {
    const generated = Math.min(
      COUNTED_TOKENS,
      call.totalTokens - call.promptTokens,
    );
    const intervalMs = state.coldStart.usualIntervalMs ?? 0;
    return (
      doorLoad.prefillMs(state, call.promptTokens) + generated * intervalMs
    );
  },

  /** The same for a queued call that is dispatched after running prefills. */
  leastMs(state: DoorState, call: DoorCall): number {
    const ahead = prefills(state)
      .map(run => run.call)
      .filter(other => other.callClass !== 'long');
    return (
      doorLoad.prefillMs(state, promptTokens(ahead)) +
      doorLoad.aloneMs(state, call)
    );
  },
};
