import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {GroupCommand} from './group_command.js';
import type {GroupEvent} from './group_event.js';
import type {GroupOptions} from './group_options.js';
import type {GroupState} from './group_state.js';

interface GroupStep {
  readonly state: GroupState;
  readonly commands: readonly GroupCommand[];
}

type Context = readonly [GroupOptions, number];

function noCommands(state: GroupState): GroupStep {
  return {state, commands: []};
}

function reserve(state: GroupState): GroupCommand {
  const {agentId, reservedTokens} = state.parts[state.currentPart];
  return {type: 'reserve', agentId, tokens: reservedTokens};
}

/** Returns the parts that may hold a reservation at their agent. */
function requestedParts(state: GroupState): GroupState['parts'] {
  return state.phase === 'reserving'
    ? state.parts.slice(0, state.currentPart + 1)
    : state.parts;
}

/** Returns commands to release every reservation that was requested. */
function releaseAll(state: GroupState): GroupCommand[] {
  return requestedParts(state).map(({agentId}) => ({type: 'release', agentId}));
}

function end(state: GroupState, failure?: Failure): GroupStep {
  const fail: GroupCommand[] = failure ? [{type: 'fail', failure}] : [];
  return {
    state: {...state, phase: 'ended'},
    commands: [...releaseAll(state), ...fail],
  };
}

/** Prefills the current part; the last part also generates. */
function runCurrentPart(state: GroupState): GroupStep {
  const {agentId, from, to} = state.parts[state.currentPart];
  const isLast = state.currentPart === state.parts.length - 1;
  const {kvCacheHandle} = state;
  return {
    state: {...state, phase: isLast ? 'generating' : 'prefilling'},
    commands: [
      {type: isLast ? 'generate' : 'prefill', agentId, from, to, kvCacheHandle},
    ],
  };
}

function onReserved(
  state: GroupState,
  event: Extract<GroupEvent, {type: 'reserved'}>,
): GroupStep {
  const isCurrent = state.parts[state.currentPart]?.agentId === event.agentId;
  if (state.phase !== 'reserving' || !isCurrent) return noCommands(state);
  const currentPart = state.currentPart + 1;
  if (currentPart === state.parts.length) {
    return runCurrentPart({...state, currentPart: 0});
  }
  const next = {...state, currentPart};
  return {state: next, commands: [reserve(next)]};
}

function onSegmentDone(state: GroupState, kvCacheHandle: string): GroupStep {
  if (state.phase !== 'prefilling') return noCommands(state);
  return runCurrentPart({
    ...state,
    kvCacheHandle,
    currentPart: state.currentPart + 1,
  });
}

function onLinkDown(state: GroupState, agentId: string): GroupStep {
  const isAffected = requestedParts(state).some(
    part => part.agentId === agentId,
  );
  if (!isAffected) return noCommands(state);
  return end(
    state,
    createFailure(
      'backend-lost',
      'The connection to a backend server that holds a part of the prompt was lost.',
      state.phase === 'reserving' ? {ran: 'no'} : {},
    ),
  );
}

function onTick(
  state: GroupState,
  options: GroupOptions,
  now: number,
): GroupStep {
  if (now >= options.deadlineAt && state.phase !== 'generating') {
    return end(
      state,
      createFailure(
        'deadline-exceeded',
        'The backend servers for this prompt were not available before its deadline.',
        state.phase === 'reserving' ? {ran: 'no'} : {},
      ),
    );
  }
  if (now - state.renewedAt < options.renewIntervalMs) return noCommands(state);
  const commands = requestedParts(state).map(
    ({agentId, reservedTokens}): GroupCommand => ({
      type: 'reserve',
      agentId,
      tokens: reservedTokens,
    }),
  );
  return {state: {...state, renewedAt: now}, commands};
}

const HANDLERS: EventHandlers<GroupState, GroupEvent, GroupStep, Context> = {
  reserved: (state, event) => onReserved(state, event),
  'not-reserved': (state, event) => end(state, event.failure),
  'segment-done': (state, event) => onSegmentDone(state, event.kvCacheHandle),
  'segment-failed': (state, event) => end(state, event.failure),
  'generation-ended': state => end(state),
  'link-down': (state, event) => onLinkDown(state, event.agentId),
  'caller-disconnected': state => end(state),
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/**
 * State machine of a prompt that is split over a group of engines. Memory is
 * reserved on all engines before any prefill starts, one engine at a time in
 * the global order of the plan. Every end of the group, successful or not,
 * releases all reservations that were requested.
 */
export const groupMachine = {
  /** Returns the initial state and the command for the first reservation. */
  start(parts: GroupState['parts'], now: number): GroupStep {
    const state: GroupState = {
      phase: 'reserving',
      parts,
      currentPart: 0,
      renewedAt: now,
    };
    return {state, commands: [reserve(state)]};
  },

  /** Handles one event at `now`, in ms. Events after the end are ignored. */
  step(
    state: GroupState,
    event: GroupEvent,
    options: GroupOptions,
    now: number,
  ): GroupStep {
    if (state.phase === 'ended') return noCommands(state);
    return handleEvent(HANDLERS, state, event, options, now);
  },
};
