import {mapWith} from '../shared/map_with.js';
import {tokenBucket} from '../shared/token_bucket.js';
import type {ScheduledCall} from './scheduled_call.js';
import {schedulerLoad} from './scheduler_load.js';
import type {SchedulerOptions} from './scheduler_options.js';
import type {SchedulerState} from './scheduler_state.js';
import type {SchedulerStep} from './scheduler_step.js';
import {fairQueue} from './fair_queue.js';
import {prefillMeter} from './prefill_meter.js';

/** Maximum number of long prompts that one engine prefills concurrently. */
const MAX_LONG_PREFILLS = 1;

/** A long prefill is overdue after this multiple of its unloaded time. */
const OVERDUE_FACTOR = 2;

/**
 * A prefill can't be overtaken any more once the time left until its deadline
 * is less than this multiple of its unloaded latency.
 */
const OVERTAKE_SLACK_FACTOR = 3;

/** Engine priority of long prompts; a lower value runs first. */
const LONG_PRIORITY = 10;

/** Prompts under twice this length have priority 0; each doubling adds 1. */
const PRIORITY_BASE_TOKENS = 1_000;

/**
 * Returns the engine priority of a call. Shorter prompts run first, and each
 * doubling of the length is one step, so that no prompt waits for a much
 * longer one. Aged calls get the highest priority, 0.
 */
function priorityOf(call: ScheduledCall, isAged: boolean): number {
  if (isAged || call.callClass === 'uniform') return 0;
  if (call.callClass === 'long') return LONG_PRIORITY;
  const steps = Math.log2(call.promptTokens / PRIORITY_BASE_TOKENS);
  return Math.max(0, Math.min(LONG_PRIORITY - 1, Math.floor(steps)));
}

function longPrefills(state: SchedulerState) {
  return schedulerLoad
    .prefills(state)
    .filter(run => run.call.callClass === 'long');
}

function hasOverdueLong(state: SchedulerState, now: number): boolean {
  return longPrefills(state).some(run => {
    const unloadedMs = schedulerLoad.prefillMs(state, run.call.promptTokens);
    return now - run.dispatchedAt > unloadedMs * OVERDUE_FACTOR;
  });
}

/** True if overtaking a running prefill may make it miss its deadline. */
function risksDeadline(
  state: SchedulerState,
  call: ScheduledCall,
  now: number,
): boolean {
  const priority = priorityOf(call, false);
  return schedulerLoad
    .prefills(state)
    .map(run => run.call)
    .filter(other => priorityOf(other, false) > priority)
    .some(other => {
      const requiredMs =
        schedulerLoad.unloadedLatencyMs(state, other) * OVERTAKE_SLACK_FACTOR;
      return other.deadlineAt - now < requiredMs;
    });
}

function overtakeLimits(state: SchedulerState, options: SchedulerOptions) {
  const perSecond =
    prefillMeter.tokensPerSecond(state.meter) * (1 - options.longPrefillShare);
  return {perSecond, burst: perSecond};
}

function fitsPrefillBudget(
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
  now: number,
): boolean {
  if (call.callClass === 'long') {
    return longPrefills(state).length < MAX_LONG_PREFILLS;
  }
  const prefilling = schedulerLoad
    .prefills(state)
    .filter(run => priorityOf(run.call, false) <= priorityOf(call, false))
    .reduce((tokens, run) => tokens + run.call.promptTokens, 0);
  const budget =
    (prefillMeter.tokensPerSecond(state.meter) * options.shortPrefillBudgetMs) /
    1_000;
  if (prefilling > 0 && prefilling + call.promptTokens > budget) return false;
  if (risksDeadline(state, call, now)) return false;
  if (!hasOverdueLong(state, now)) return true;
  const limits = overtakeLimits(state, options);
  const tokens = Math.min(call.promptTokens, limits.burst);
  return tokenBucket.take(state.overtakeBucket, limits, tokens, now).taken;
}

function fitsMemory(
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
): boolean {
  if (call.reservationId !== undefined) {
    return state.reservations.get(call.reservationId)?.granted === true;
  }
  return call.totalTokens <= schedulerLoad.freeTokens(state, options);
}

function canRun(
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
  now: number,
): boolean {
  const runs = [...state.running.values()];
  if (runs.some(run => run.call.runsAlone)) return false;
  if (call.runsAlone && runs.length > 0) return false;
  if (runs.length >= schedulerLoad.runningLimit(state)) return false;
  if (!fitsMemory(state, call, options)) return false;
  return options.kind === 'plain-service'
    ? true
    : fitsPrefillBudget(state, call, options, now);
}

/** Returns the oldest queued call that has waited longer than `agingMs`. */
function oldestAged(
  state: SchedulerState,
  options: SchedulerOptions,
  now: number,
): ScheduledCall | undefined {
  return fairQueue
    .calls(state.queue)
    .filter(call => now - call.arrivedAt > options.agingMs)
    .reduce<ScheduledCall | undefined>(
      (oldest, call) =>
        oldest && oldest.arrivedAt <= call.arrivedAt ? oldest : call,
      undefined,
    );
}

function takeNext(
  state: SchedulerState,
  options: SchedulerOptions,
  now: number,
) {
  const aged = oldestAged(state, options, now);
  const isBlockedByLong =
    aged?.callClass === 'long' && longPrefills(state).length > 0;
  if (!aged || isBlockedByLong) {
    return fairQueue.dequeue(state.queue, call =>
      canRun(state, call, options, now),
    );
  }
  return fairQueue.dequeue(
    state.queue,
    call => call === aged && canRun(state, call, options, now),
  );
}

function startCall(
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
  now: number,
): SchedulerState {
  const limits = overtakeLimits(state, options);
  const isOvertaking = call.callClass === 'short' && hasOverdueLong(state, now);
  const tokens = Math.min(call.promptTokens, limits.burst);
  return {
    ...state,
    running: mapWith(state.running, call.callId, {call, dispatchedAt: now}),
    meter:
      call.callClass !== 'long'
        ? prefillMeter.startPrefill(state.meter, now)
        : state.meter,
    overtakeBucket: isOvertaking
      ? tokenBucket.take(state.overtakeBucket, limits, tokens, now).bucket
      : state.overtakeBucket,
  };
}

function canDispatch({serverStatus, coldStart}: SchedulerState): boolean {
  if (coldStart.isDisconnected) return false;
  const {declared, zoneInService, serverInService, leaving} = serverStatus;
  return declared && zoneInService && serverInService && !leaving;
}

/** Dispatches queued calls until none may run. */
export function dispatchQueued(
  state: SchedulerState,
  options: SchedulerOptions,
  now: number,
): SchedulerStep {
  if (!canDispatch(state)) return {state, commands: []};
  const {state: queue, call} = takeNext(state, options, now);
  if (!call) return {state, commands: []};
  const aged = now - call.arrivedAt > options.agingMs;
  const priority = priorityOf(call, aged);
  const started = startCall({...state, queue}, call, options, now);
  const rest = dispatchQueued(started, options, now);
  const dispatch = {type: 'dispatch', callId: call.callId, priority} as const;
  return {state: rest.state, commands: [dispatch, ...rest.commands]};
}
