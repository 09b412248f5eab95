import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {GroupCommand} from './group_command.js';
import type {GroupEvent} from './group_event.js';
import type {GroupOptions} from './group_options.js';
import type {GroupState} from './group_state.js';

interface Step {
  readonly state: GroupState;
  readonly commands: readonly GroupCommand[];
}

type Context = readonly [GroupOptions, number];

function quiet(state: GroupState): Step {
  return {state, commands: []};
}

function reserve(state: GroupState): GroupCommand {
  const {agentId, reservedTokens: tokens} = state.parts[state.currentPart];
  return {type: 'reserve', agentId, tokens};
}

/** Parts for which a reservation may stand at an agent. */
function asked(state: GroupState): GroupState['parts'] {
  return state.phase === 'reserving'
    ? state.parts.slice(0, state.currentPart + 1)
    : state.parts;
}

function releaseAll(state: GroupState): GroupCommand[] {
  return asked(state).map(({agentId}) => ({type: 'release', agentId}));
}

function end(state: GroupState, failure?: Failure): Step {
  const fail: GroupCommand[] = failure ? [{type: 'fail', failure}] : [];
  return {
    state: {...state, phase: 'ended'},
    commands: [...releaseAll(state), ...fail],
  };
}

function runCurrent(state: GroupState): Step {
  const {agentId, from, to} = state.parts[state.currentPart];
  const isLast = state.currentPart === state.parts.length - 1;
  const {carry} = state;
  return {
    state: {...state, phase: isLast ? 'generating' : 'prefilling'},
    commands: [
      {type: isLast ? 'generate' : 'prefill', agentId, from, to, carry},
    ],
  };
}

function onReserved(
  state: GroupState,
  event: Extract<GroupEvent, {type: 'reserved'}>,
): Step {
  const isCurrent = state.parts[state.currentPart]?.agentId === event.agentId;
  if (state.phase !== 'reserving' || !isCurrent) return quiet(state);
  const currentPart = state.currentPart + 1;
  if (currentPart === state.parts.length) {
    return runCurrent({...state, currentPart: 0});
  }
  const next = {...state, currentPart};
  return {state: next, commands: [reserve(next)]};
}

function onSegmentDone(state: GroupState, carry: string): Step {
  if (state.phase !== 'prefilling') return quiet(state);
  return runCurrent({...state, carry, currentPart: state.currentPart + 1});
}

function onLinkDown(state: GroupState, agentId: string): Step {
  const isOurs = asked(state).some(part => part.agentId === agentId);
  if (!isOurs) return quiet(state);
  return end(
    state,
    createFailure(
      'backend-lost',
      'A backend server that holds a part of the prompt was lost.',
      state.phase === 'reserving' ? {ran: 'no'} : {},
    ),
  );
}

function onTick(state: GroupState, options: GroupOptions, now: number): Step {
  if (now >= options.deadlineAt && state.phase !== 'generating') {
    return end(
      state,
      createFailure(
        'deadline-exceeded',
        'The backend servers for this prompt were not free in time.',
        state.phase === 'reserving' ? {ran: 'no'} : {},
      ),
    );
  }
  if (now - state.renewedAt < options.renewIntervalMs) return quiet(state);
  const commands = asked(state).map(
    ({agentId, reservedTokens: tokens}): GroupCommand => ({
      type: 'reserve',
      agentId,
      tokens,
    }),
  );
  return {state: {...state, renewedAt: now}, commands};
}

const HANDLERS: EventHandlers<GroupState, GroupEvent, Step, Context> = {
  reserved: (state, event) => onReserved(state, event),
  'not-reserved': (state, event) => end(state, event.failure),
  'segment-done': (state, event) => onSegmentDone(state, event.carry),
  'segment-failed': (state, event) => end(state, event.failure),
  'generation-ended': state => end(state),
  'link-down': (state, event) => onLinkDown(state, event.agentId),
  'caller-disconnected': state => end(state),
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/**
 * Runs a prompt over a group of engines. Memory is reserved on all of them,
 * one after the other in the global order of the plan, before any prefill
 * starts; every way out releases all that was asked for.
 */
export const groupMachine = {
  start(parts: GroupState['parts'], now: number): Step {
    const state: GroupState = {
      phase: 'reserving',
      parts,
      currentPart: 0,
      renewedAt: now,
    };
    return {state, commands: [reserve(state)]};
  },

  step(
    state: GroupState,
    event: GroupEvent,
    options: GroupOptions,
    now: number,
  ): Step {
    if (state.phase === 'ended') return quiet(state);
    return handleEvent(HANDLERS, state, event, options, now);
  },
};
