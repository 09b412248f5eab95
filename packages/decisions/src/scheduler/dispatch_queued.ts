import {mapWith} from '../shared/map_with.js';
import {tokenBucket} from '../shared/token_bucket.js';
import type {ScheduledCall} from './scheduled_call.js';
import {schedulerLoad} from './scheduler_load.js';
import type {SchedulerOptions} from './scheduler_options.js';
import type {SchedulerState} from './scheduler_state.js';
import type {SchedulerStep} from './scheduler_step.js';
import {fairQueue} from './fair_queue.js';
import {prefillMeter} from './prefill_meter.js';

/** Long prompts that one engine prefills at once. */
const LONG_PREFILLS = 1;

/** Factor over the undisturbed time at which a long prefill is overdue. */
const OVERDUE_FACTOR = 2;

/** Times that a call takes alone, left before its deadline, under which none may pass it. */
const ENDANGERED_FACTOR = 3;

/** Engine priority of long prompts; lower goes first. */
const LONG_PRIORITY = 10;

/** Prompt tokens of the shortest step of priorities. */
const PRIORITY_STEP_TOKENS = 1_000;

/**
 * Returns the engine priority of a call. Shorter prompts go first, in steps
 * of twice the length, so that none waits for one much longer than itself.
 */
function priorityOf(call: ScheduledCall, isAged: boolean): number {
  if (isAged || call.callClass === 'uniform') return 0;
  if (call.callClass === 'long') return LONG_PRIORITY;
  const steps = Math.log2(call.promptTokens / PRIORITY_STEP_TOKENS);
  return Math.max(0, Math.min(LONG_PRIORITY - 1, Math.floor(steps)));
}

function longPrefills(state: SchedulerState) {
  return schedulerLoad
    .prefills(state)
    .filter(run => run.call.callClass === 'long');
}

function hasOverdueLong(state: SchedulerState, now: number): boolean {
  return longPrefills(state).some(run => {
    const undisturbedMs = schedulerLoad.prefillMs(state, run.call.promptTokens);
    return now - run.dispatchedAt > undisturbedMs * OVERDUE_FACTOR;
  });
}

/** True where a running prefill misses its deadline if calls pass it. */
function wouldEndanger(
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
      const neededMs =
        schedulerLoad.unloadedLatencyMs(state, other) * ENDANGERED_FACTOR;
      return other.deadlineAt - now < neededMs;
    });
}

function passingLimits(state: SchedulerState, options: SchedulerOptions) {
  const perSecond =
    prefillMeter.tokensPerSecond(state.meter) * (1 - options.longPrefillShare);
  return {perSecond, burst: perSecond};
}

function fitsClass(
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
  now: number,
): boolean {
  if (call.callClass === 'long') {
    return longPrefills(state).length < LONG_PREFILLS;
  }
  const inFlight = schedulerLoad
    .prefills(state)
    .filter(run => priorityOf(run.call, false) <= priorityOf(call, false))
    .reduce((tokens, run) => tokens + run.call.promptTokens, 0);
  const budget =
    (prefillMeter.tokensPerSecond(state.meter) * options.shortPrefillBudgetMs) /
    1_000;
  if (inFlight > 0 && inFlight + call.promptTokens > budget) return false;
  if (wouldEndanger(state, call, now)) return false;
  if (!hasOverdueLong(state, now)) return true;
  const limits = passingLimits(state, options);
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

function hasRoom(
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
    : fitsClass(state, call, options, now);
}

/** Returns the call that has waited past the ageing bound the longest. */
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
  const waitsForLong =
    aged?.callClass === 'long' && longPrefills(state).length > 0;
  if (!aged || waitsForLong) {
    return fairQueue.dequeue(state.queue, call =>
      hasRoom(state, call, options, now),
    );
  }
  return fairQueue.dequeue(
    state.queue,
    call => call === aged && hasRoom(state, call, options, now),
  );
}

function start(
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
  now: number,
): SchedulerState {
  const limits = passingLimits(state, options);
  const paysForPassing =
    call.callClass === 'short' && hasOverdueLong(state, now);
  const tokens = Math.min(call.promptTokens, limits.burst);
  return {
    ...state,
    running: mapWith(state.running, call.callId, {call, dispatchedAt: now}),
    meter:
      call.callClass !== 'long'
        ? prefillMeter.startPrefill(state.meter, now)
        : state.meter,
    overtakeBucket: paysForPassing
      ? tokenBucket.take(state.overtakeBucket, limits, tokens, now).bucket
      : state.overtakeBucket,
  };
}

function canDispatch({serverStatus}: SchedulerState): boolean {
  const {declared, zoneInService, serverInService, leaving} = serverStatus;
  return declared && zoneInService && serverInService && !leaving;
}

/** Dispatches queued calls as long as there is room for them. */
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
  const started = start({...state, queue}, call, options, now);
  const rest = dispatchQueued(started, options, now);
  const dispatch = {type: 'dispatch', callId: call.callId, priority} as const;
  return {state: rest.state, commands: [dispatch, ...rest.commands]};
}
