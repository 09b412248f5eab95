import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';
import {coldStartLimiter} from './cold_start_limiter.js';
import {checkAdmission} from './check_admission.js';
import type {SchedulerCommand} from './scheduler_command.js';
import type {ServerStatus} from './server_status.js';
import {dispatchQueued} from './dispatch_queued.js';
import type {SchedulerEvent} from './scheduler_event.js';
import {schedulerLoad} from './scheduler_load.js';
import type {SchedulerOptions} from './scheduler_options.js';
import {memoryReservations} from './memory_reservations.js';
import type {SchedulerState} from './scheduler_state.js';
import type {SchedulerStep} from './scheduler_step.js';
import {unavailableReason} from './unavailable_reason.js';
import {fairQueue} from './fair_queue.js';
import {prefillMeter} from './prefill_meter.js';

type Context = readonly [SchedulerOptions, number];

function noCommands(state: SchedulerState): SchedulerStep {
  return {state, commands: []};
}

function refuse(callId: string, failure: Failure): SchedulerCommand {
  return {type: 'refuse', callId, failure};
}

function onOffer(
  state: SchedulerState,
  event: Extract<SchedulerEvent, {type: 'offer'}>,
  options: SchedulerOptions,
  now: number,
): SchedulerStep {
  const {call, weight} = event;
  const failure = checkAdmission(state, call, options, now);
  if (failure) return {state, commands: [refuse(call.callId, failure)]};
  const queue = fairQueue.enqueue(state.queue, call, weight);
  return {
    state: {...state, queue},
    commands: [{type: 'accept', callId: call.callId}],
  };
}

/** Removes a running call; a prefill that it was in ends with `tokens`. */
function removeRunning(
  state: SchedulerState,
  callId: string,
  tokens: number,
  now: number,
): SchedulerState {
  const run = state.running.get(callId);
  if (!run) return state;
  const isMeasured =
    run.firstTokenAt === undefined && run.call.callClass !== 'long';
  const meter = isMeasured
    ? prefillMeter.endPrefill(state.meter, tokens, now)
    : state.meter;
  return {...state, meter, running: mapWithout(state.running, callId)};
}

function onCancel(
  state: SchedulerState,
  callId: string,
  now: number,
): SchedulerStep {
  const queue = fairQueue.remove(state.queue, callId);
  return noCommands(removeRunning({...state, queue}, callId, 0, now));
}

function onFirstToken(
  state: SchedulerState,
  callId: string,
  now: number,
): SchedulerStep {
  const run = state.running.get(callId);
  if (!run || run.firstTokenAt !== undefined) return noCommands(state);
  const running = mapWith(state.running, callId, {...run, firstTokenAt: now});
  const {callClass, promptTokens} = run.call;
  const meter =
    callClass !== 'long'
      ? prefillMeter.endPrefill(state.meter, promptTokens, now)
      : state.meter;
  return noCommands({...state, running, meter});
}

/** Stops the most recently dispatched calls above the cold-start limit. */
function shedExcess(state: SchedulerState): SchedulerCommand[] {
  const excess = state.running.size - state.coldStart.limit;
  if (excess <= 0) return [];
  return [...state.running.values()]
    .sort((a, b) => b.dispatchedAt - a.dispatchedAt)
    .slice(0, excess)
    .map(run => ({type: 'shed', callId: run.call.callId}));
}

function updateColdStart(
  state: SchedulerState,
  event: Parameters<typeof coldStartLimiter.step>[1],
  options: SchedulerOptions,
  now: number,
): SchedulerStep {
  const step = coldStartLimiter.step(state.coldStart, event, options, now);
  const next = {...state, coldStart: step.state};
  return {state: next, commands: step.becameCold ? shedExcess(next) : []};
}

function onFinished(
  state: SchedulerState,
  event: Extract<SchedulerEvent, {type: 'finished'}>,
  options: SchedulerOptions,
  now: number,
): SchedulerStep {
  const run = state.running.get(event.callId);
  if (!run) return noCommands(state);
  const tokens = event.healthy ? run.call.promptTokens : 0;
  const ended = removeRunning(state, event.callId, tokens, now);
  if (event.disconnected) {
    return updateColdStart(ended, {type: 'connection-lost'}, options, now);
  }
  if (!event.healthy) return noCommands(ended);
  return updateColdStart(ended, {type: 'completed'}, options, now);
}

function onServerStatus(
  state: SchedulerState,
  status: ServerStatus,
): SchedulerStep {
  const next = {...state, serverStatus: status};
  const reason = unavailableReason(status);
  if (!reason) return noCommands(next);
  const commands = fairQueue
    .calls(state.queue)
    .map(call => refuse(call.callId, reason));
  return {state: {...next, queue: fairQueue.empty()}, commands};
}

/** Refuses queued calls that can't meet their deadline any more. */
function refuseInfeasible(state: SchedulerState, now: number): SchedulerStep {
  const late = fairQueue
    .calls(state.queue)
    .filter(
      call => call.deadlineAt - schedulerLoad.minLatencyMs(state, call) <= now,
    );
  const queue = late.reduce(
    (rest, call) => fairQueue.remove(rest, call.callId),
    state.queue,
  );
  const failure = createFailure(
    'deadline-exceeded',
    'The call was queued for too long to meet its deadline.',
    {ran: 'no'},
  );
  const commands = late.map(call => refuse(call.callId, failure));
  return {state: {...state, queue}, commands};
}

function onTick(state: SchedulerState, now: number): SchedulerStep {
  const queued = refuseInfeasible(state, now);
  const expired = memoryReservations.expire(queued.state, now);
  return {
    state: expired.state,
    commands: [...queued.commands, ...expired.commands],
  };
}

const HANDLERS: EventHandlers<
  SchedulerState,
  SchedulerEvent,
  SchedulerStep,
  Context
> = {
  offer: onOffer,
  cancel: (state, event, _options, now) => onCancel(state, event.callId, now),
  'first-token': (state, event, _options, now) =>
    onFirstToken(state, event.callId, now),
  'token-interval': updateColdStart,
  finished: onFinished,
  'load-report': updateColdStart,
  'connection-lost': updateColdStart,
  'server-status': (state, event) => onServerStatus(state, event.status),
  'options-changed': updateColdStart,
  reserve: memoryReservations.onReserve,
  release: (state, event) =>
    memoryReservations.onRelease(state, event.reservationId),
  tick: (state, _event, _options, now) => onTick(state, now),
};

/**
 * The scheduler of an agent, which all calls to its backend server go through.
 * Admits, queues and dispatches calls within the limits from records and the
 * cold-start limiter.
 */
export const scheduler = {
  create(
    status: ServerStatus,
    options: SchedulerOptions,
    now: number,
  ): SchedulerState {
    return {
      serverStatus: status,
      coldStart: coldStartLimiter.create(options, now),
      queue: fairQueue.empty(),
      running: new Map(),
      reservations: new Map(),
      meter: prefillMeter.create(options.initialPrefillRate, now),
      overtakeBucket: {tokens: 0, updatedAt: now},
    };
  },

  step(
    state: SchedulerState,
    event: SchedulerEvent,
    options: SchedulerOptions,
    now: number,
  ): SchedulerStep {
    const handled = handleEvent(HANDLERS, state, event, options, now);
    const granted = memoryReservations.grant(handled.state, options);
    const dispatched = dispatchQueued(granted.state, options, now);
    return {
      state: dispatched.state,
      commands: [
        ...handled.commands,
        ...granted.commands,
        ...dispatched.commands,
      ],
    };
  },
};
