import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';
import {coldStart} from './cold_start.js';
import {doorAdmission} from './door_admission.js';
import type {DoorCommand} from './door_command.js';
import type {DoorCondition} from './door_condition.js';
import {doorDispatch} from './door_dispatch.js';
import type {DoorEvent} from './door_event.js';
import {doorLoad} from './door_load.js';
import type {DoorOptions} from './door_options.js';
import {doorReservations} from './door_reservations.js';
import type {DoorState} from './door_state.js';
import type {DoorStep} from './door_step.js';
import {evictionReason} from './eviction_reason.js';
import {fairQueue} from './fair_queue.js';
import {prefillMeter} from './prefill_meter.js';

type Context = readonly [DoorOptions, number];

function quiet(state: DoorState): DoorStep {
  return {state, commands: []};
}

function refuse(callId: string, failure: Failure): DoorCommand {
  return {type: 'refuse', callId, failure};
}

function onOffer(
  state: DoorState,
  event: Extract<DoorEvent, {type: 'offer'}>,
  options: DoorOptions,
  now: number,
): DoorStep {
  const {call, weight} = event;
  const failure = doorAdmission(state, call, options, now);
  if (failure) return {state, commands: [refuse(call.callId, failure)]};
  const queue = fairQueue.enqueue(state.queue, call, weight);
  return {
    state: {...state, queue},
    commands: [{type: 'accept', callId: call.callId}],
  };
}

function endRun(
  state: DoorState,
  callId: string,
  tokens: number,
  now: number,
): DoorState {
  const run = state.running.get(callId);
  if (!run) return state;
  const isMeasured =
    run.firstTokenAt === undefined && run.call.callClass !== 'long';
  const meter = isMeasured
    ? prefillMeter.ended(state.meter, tokens, now)
    : state.meter;
  return {...state, meter, running: mapWithout(state.running, callId)};
}

function onCancel(state: DoorState, callId: string, now: number): DoorStep {
  const queue = fairQueue.remove(state.queue, callId);
  return quiet(endRun({...state, queue}, callId, 0, now));
}

function onFirstToken(state: DoorState, callId: string, now: number): DoorStep {
  const run = state.running.get(callId);
  if (!run || run.firstTokenAt !== undefined) return quiet(state);
  const running = mapWith(state.running, callId, {...run, firstTokenAt: now});
  const {callClass, promptTokens} = run.call;
  const meter =
    callClass !== 'long'
      ? prefillMeter.ended(state.meter, promptTokens, now)
      : state.meter;
  return quiet({...state, running, meter});
}

/** Stops the newest calls beyond what the backend server bears. */
function shedExcess(state: DoorState): DoorCommand[] {
  const excess = state.running.size - state.coldStart.limit;
  if (excess <= 0) return [];
  return [...state.running.values()]
    .sort((a, b) => b.dispatchedAt - a.dispatchedAt)
    .slice(0, excess)
    .map(run => ({type: 'shed', callId: run.call.callId}));
}

function onColdStart(
  state: DoorState,
  event: Parameters<typeof coldStart.step>[1],
  options: DoorOptions,
  now: number,
): DoorStep {
  const step = coldStart.step(state.coldStart, event, options, now);
  const next = {...state, coldStart: step.state};
  return {state: next, commands: step.fellBack ? shedExcess(next) : []};
}

function onFinished(
  state: DoorState,
  event: Extract<DoorEvent, {type: 'finished'}>,
  options: DoorOptions,
  now: number,
): DoorStep {
  const run = state.running.get(event.callId);
  if (!run) return quiet(state);
  const tokens = event.healthy ? run.call.promptTokens : 0;
  const ended = endRun(state, event.callId, tokens, now);
  if (!event.healthy) return quiet(ended);
  return onColdStart(ended, {type: 'completed'}, options, now);
}

function onCondition(state: DoorState, condition: DoorCondition): DoorStep {
  const next = {...state, condition};
  const reason = evictionReason(condition);
  if (!reason) return quiet(next);
  const commands = fairQueue
    .calls(state.queue)
    .map(call => refuse(call.callId, reason));
  return {state: {...next, queue: fairQueue.empty()}, commands};
}

/** Refuses queued calls that can no longer be answered in time. */
function refuseLate(state: DoorState, now: number): DoorStep {
  const late = fairQueue
    .calls(state.queue)
    .filter(call => call.deadlineAt - doorLoad.leastMs(state, call) <= now);
  const queue = late.reduce(
    (rest, call) => fairQueue.remove(rest, call.callId),
    state.queue,
  );
  const failure = createFailure(
    'deadline-exceeded',
    'The call was queued for too long to be answered in time.',
    {ran: 'no'},
  );
  const commands = late.map(call => refuse(call.callId, failure));
  return {state: {...state, queue}, commands};
}

function onTick(state: DoorState, now: number): DoorStep {
  const queued = refuseLate(state, now);
  const expired = doorReservations.expire(queued.state, now);
  return {
    state: expired.state,
    commands: [...queued.commands, ...expired.commands],
  };
}

const HANDLERS: EventHandlers<DoorState, DoorEvent, DoorStep, Context> = {
  offer: onOffer,
  cancel: (state, event, _options, now) => onCancel(state, event.callId, now),
  'first-token': (state, event, _options, now) =>
    onFirstToken(state, event.callId, now),
  'token-interval': onColdStart,
  finished: onFinished,
  'load-report': onColdStart,
  'connection-lost': onColdStart,
  condition: (state, event) => onCondition(state, event.condition),
  'options-changed': onColdStart,
  reserve: doorReservations.onReserve,
  release: (state, event) =>
    doorReservations.onRelease(state, event.reservationId),
  tick: (state, _event, _options, now) => onTick(state, now),
};

/**
 * The door of an agent: the one way to its backend server. Admits, queues and
 * dispatches calls within the limits that records and cold starts set.
 */
export const door = {
  create(
    condition: DoorCondition,
    options: DoorOptions,
    now: number,
  ): DoorState {
    return {
      condition,
      coldStart: coldStart.create(options, now),
      queue: fairQueue.empty(),
      running: new Map(),
      reservations: new Map(),
      meter: prefillMeter.create(options.prefillRate, now),
      passing: {tokens: 0, updatedAt: now},
    };
  },

  step(
    state: DoorState,
    event: DoorEvent,
    options: DoorOptions,
    now: number,
  ): DoorStep {
    const handled = handleEvent(HANDLERS, state, event, options, now);
    const granted = doorReservations.grant(handled.state, options);
    const pumped = doorDispatch(granted.state, options, now);
    return {
      state: pumped.state,
      commands: [...handled.commands, ...granted.commands, ...pumped.commands],
    };
  },
};
