import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {ColdStartOptions} from './cold_start_options.js';

/** Warm-up phase of a backend server, as its agent sees it. */
type WarmUpPhase = 'cold' | 'warming' | 'warm';

/** State of the cold-start limiter of one backend server. */
interface ColdStartState {
  readonly phase: WarmUpPhase;
  /** Calls that may run concurrently at present. */
  readonly limit: number;
  /** Successful calls since the limit last changed. */
  readonly completions: number;
  /** Incarnation of the backend server's process, from its load reports. */
  readonly incarnation?: string;
  /** Moving average of the time between tokens in milliseconds. */
  readonly averageIntervalMs?: number;
  /** Consecutive slow token intervals. */
  readonly consecutiveSlow: number;
  /** Time in milliseconds at which the limiter was last reset to cold. */
  readonly resetAt: number;
  /**
   * True after a lost connection until the server reports again. Servers that
   * have never reported, such as plain services, don't count.
   */
  readonly isDisconnected: boolean;
}

/** Observations of the backend server. */
type ColdStartEvent =
  | {
      readonly type: 'load-report';
      readonly incarnation: string;
      readonly cold: boolean;
    }
  | {readonly type: 'connection-lost'}
  | {readonly type: 'completed'}
  | {readonly type: 'token-interval'; readonly intervalMs: number}
  | {readonly type: 'options-changed'};

interface ColdStartStep {
  readonly state: ColdStartState;
  /** True if this event made the backend server count as cold again. */
  readonly becameCold: boolean;
}

/** Weight of a new sample in the moving average of token intervals. */
const INTERVAL_SMOOTHING = 0.05;

function resetToCold(
  state: ColdStartState,
  options: ColdStartOptions,
  now: number,
  incarnation = state.incarnation,
): ColdStartStep {
  return {
    becameCold: state.phase !== 'cold' || state.incarnation !== incarnation,
    state: {
      ...state,
      phase: 'cold',
      limit: options.coldMaxRunning,
      completions: 0,
      incarnation,
      consecutiveSlow: 0,
      resetAt: now,
    },
  };
}

function unchanged(state: ColdStartState): ColdStartStep {
  return {state, becameCold: false};
}

function onLoadReport(
  state: ColdStartState,
  event: Extract<ColdStartEvent, {type: 'load-report'}>,
  options: ColdStartOptions,
  now: number,
): ColdStartStep {
  const connected = {...state, isDisconnected: false};
  const hasRestarted = state.incarnation !== event.incarnation;
  if (hasRestarted) {
    return resetToCold(connected, options, now, event.incarnation);
  }
  if (event.cold) {
    return state.phase === 'cold'
      ? unchanged(connected)
      : resetToCold(connected, options, now);
  }
  const isReportCurrent = now - state.resetAt >= options.reportLagMs;
  if (state.phase !== 'cold' || !isReportCurrent) return unchanged(connected);
  return unchanged({...connected, phase: 'warming', completions: 0});
}

function onConnectionLost(
  state: ColdStartState,
  options: ColdStartOptions,
  now: number,
): ColdStartStep {
  const isDisconnected = state.incarnation !== undefined;
  return resetToCold({...state, isDisconnected}, options, now);
}

function onCompleted(
  state: ColdStartState,
  options: ColdStartOptions,
): ColdStartStep {
  if (state.phase !== 'warming') return unchanged(state);
  const completions = state.completions + 1;
  if (completions < state.limit) return unchanged({...state, completions});
  const limit = Math.min(options.warmMaxRunning, state.limit * 2);
  const phase = limit >= options.warmMaxRunning ? 'warm' : 'warming';
  return unchanged({...state, limit, phase, completions: 0});
}

function onTokenInterval(
  state: ColdStartState,
  intervalMs: number,
  options: ColdStartOptions,
  now: number,
): ColdStartStep {
  if (state.phase === 'cold') return unchanged(state);
  const averageMs = state.averageIntervalMs ?? intervalMs;
  const isSlow = intervalMs > averageMs * options.slowIntervalFactor;
  if (isSlow) {
    const consecutiveSlow = state.consecutiveSlow + 1;
    if (consecutiveSlow >= options.slowIntervalSamples) {
      return resetToCold(state, options, now);
    }
    return unchanged({...state, consecutiveSlow});
  }
  const averageIntervalMs =
    averageMs * (1 - INTERVAL_SMOOTHING) + intervalMs * INTERVAL_SMOOTHING;
  return unchanged({...state, averageIntervalMs, consecutiveSlow: 0});
}

function onOptionsChanged(
  state: ColdStartState,
  options: ColdStartOptions,
): ColdStartStep {
  const limits: Record<WarmUpPhase, number> = {
    cold: options.coldMaxRunning,
    warming: Math.min(state.limit, options.warmMaxRunning),
    warm: options.warmMaxRunning,
  };
  return unchanged({...state, limit: limits[state.phase]});
}

const HANDLERS: EventHandlers<
  ColdStartState,
  ColdStartEvent,
  ColdStartStep,
  readonly [ColdStartOptions, number]
> = {
  'load-report': onLoadReport,
  'connection-lost': (state, _event, options, now) =>
    onConnectionLost(state, options, now),
  completed: (state, _event, options) => onCompleted(state, options),
  'token-interval': (state, event, options, now) =>
    onTokenInterval(state, event.intervalMs, options, now),
  'options-changed': (state, _event, options) =>
    onOptionsChanged(state, options),
};

/**
 * Limits the calls that run concurrently on a backend server during a cold
 * start. The limit starts at the configured cold maximum and, once a report
 * says that the server is no longer cold, doubles whenever as many calls have
 * completed as it allows. It drops back immediately when the server restarts,
 * the connection is lost, a report says cold, or several tokens in a row are
 * much slower than average.
 */
export const coldStartLimiter = {
  create(options: ColdStartOptions, now: number): ColdStartState {
    return {
      phase: 'cold',
      limit: options.coldMaxRunning,
      completions: 0,
      consecutiveSlow: 0,
      resetAt: now - options.reportLagMs,
      isDisconnected: false,
    };
  },

  step(
    state: ColdStartState,
    event: ColdStartEvent,
    options: ColdStartOptions,
    now: number,
  ): ColdStartStep {
    return handleEvent(HANDLERS, state, event, options, now);
  },
};
