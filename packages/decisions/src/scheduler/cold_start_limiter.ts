import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {ColdStartOptions} from './cold_start_options.js';

/** Start-up phase of a backend server as its agent sees it. */
type ColdPhase = 'cold' | 'warming' | 'warm';

/** State of the cold-start limiter of one backend server. */
interface ColdStartState {
  readonly phase: ColdPhase;
  /** Requests that may run at once now. */
  readonly limit: number;
  /** Healthy completions since the limit last grew. */
  readonly completions: number;
  /** Incarnation of the backend server's process, once known. */
  readonly incarnation?: string;
  /** Token interval in milliseconds that is usual while warm. */
  readonly usualIntervalMs?: number;
  readonly slowInRow: number;
  readonly fellBackAt: number;
}

/** What the limiter learns of the backend server. */
type ColdStartEvent =
  | {
      readonly type: 'load-report';
      readonly incarnation: string;
      readonly saysCold: boolean;
    }
  | {readonly type: 'connection-lost'}
  | {readonly type: 'completed'}
  | {readonly type: 'token-interval'; readonly intervalMs: number}
  | {readonly type: 'options-changed'};

interface ColdStartStep {
  readonly state: ColdStartState;
  /** True where the backend server has just become cold again. */
  readonly fellBack: boolean;
}

const INTERVAL_SMOOTHING = 0.05;

function fallBack(
  state: ColdStartState,
  options: ColdStartOptions,
  now: number,
  incarnation = state.incarnation,
): ColdStartStep {
  return {
    fellBack: state.phase !== 'cold' || state.incarnation !== incarnation,
    state: {
      ...state,
      phase: 'cold',
      limit: options.coldMaxRunning,
      completions: 0,
      incarnation,
      slowInRow: 0,
      fellBackAt: now,
    },
  };
}

function keep(state: ColdStartState): ColdStartStep {
  return {state, fellBack: false};
}

function onLoadReport(
  state: ColdStartState,
  event: Extract<ColdStartEvent, {type: 'load-report'}>,
  options: ColdStartOptions,
  now: number,
): ColdStartStep {
  const changed = state.incarnation !== event.incarnation;
  if (changed) return fallBack(state, options, now, event.incarnation);
  if (event.saysCold) {
    return state.phase === 'cold' ? keep(state) : fallBack(state, options, now);
  }
  const reportIsFresh = now - state.fellBackAt >= options.reportLagMs;
  if (state.phase !== 'cold' || !reportIsFresh) return keep(state);
  return keep({...state, phase: 'warming', completions: 0});
}

function onCompleted(
  state: ColdStartState,
  options: ColdStartOptions,
): ColdStartStep {
  if (state.phase !== 'warming') return keep(state);
  const completions = state.completions + 1;
  if (completions < state.limit) return keep({...state, completions});
  const limit = Math.min(options.warmMaxRunning, state.limit * 2);
  const phase = limit >= options.warmMaxRunning ? 'warm' : 'warming';
  return keep({...state, limit, phase, completions: 0});
}

function onTokenInterval(
  state: ColdStartState,
  intervalMs: number,
  options: ColdStartOptions,
  now: number,
): ColdStartStep {
  if (state.phase === 'cold') return keep(state);
  const usual = state.usualIntervalMs ?? intervalMs;
  const isSlow = intervalMs > usual * options.slowIntervalFactor;
  if (isSlow) {
    const slowInRow = state.slowInRow + 1;
    if (slowInRow >= options.slowIntervalSamples) {
      return fallBack(state, options, now);
    }
    return keep({...state, slowInRow});
  }
  const usualIntervalMs =
    usual * (1 - INTERVAL_SMOOTHING) + intervalMs * INTERVAL_SMOOTHING;
  return keep({...state, usualIntervalMs, slowInRow: 0});
}

function onOptionsChanged(
  state: ColdStartState,
  options: ColdStartOptions,
): ColdStartStep {
  const limits: Record<ColdPhase, number> = {
    cold: options.coldMaxRunning,
    warming: Math.min(state.limit, options.warmMaxRunning),
    warm: options.warmMaxRunning,
  };
  return keep({...state, limit: limits[state.phase]});
}

const HANDLERS: EventHandlers<
  ColdStartState,
  ColdStartEvent,
  ColdStartStep,
  readonly [ColdStartOptions, number]
> = {
  'load-report': onLoadReport,
  'connection-lost': (state, _event, options, now) =>
    fallBack(state, options, now),
  completed: (state, _event, options) => onCompleted(state, options),
  'token-interval': (state, event, options, now) =>
    onTokenInterval(state, event.intervalMs, options, now),
  'options-changed': (state, _event, options) =>
    onOptionsChanged(state, options),
};

/**
 * Limits what runs on a backend server while it is in a cold start. The limit
 * starts at the declared cold capacity, doubles after as many healthy
 * completions as it allows, and falls back at once when the incarnation
 * changes, the connection is lost, a report says cold, or tokens come far
 * slower than usual.
 */
export const coldStartLimiter = {
  create(options: ColdStartOptions, now: number): ColdStartState {
    return {
      phase: 'cold',
      limit: options.coldMaxRunning,
      completions: 0,
      slowInRow: 0,
      fellBackAt: now - options.reportLagMs,
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
