import {createFailure} from '../errors/create_failure.js';
import type {CallEvent} from './call_event.js';
import type {CallOptions} from './call_options.js';
import {callRecovery} from './call_recovery.js';
import type {CallState} from './call_state.js';
import type {CallStep} from './call_step.js';

function quiet(state: CallState): CallStep {
  return {state, commands: []};
}

function attach(state: CallState, now: number): CallStep {
  const {agentId, attemptId} = state;
  if (!agentId || !attemptId) return quiet(state);
  return {
    state: {...state, lastAttachAt: now},
    commands: [{type: 'attach', agentId, attemptId, from: state.nextIndex}],
  };
}

function onUnseen(
  state: CallState,
  event: Extract<CallEvent, {type: 'unseen'}>,
  options: CallOptions,
): CallStep {
  const neverRan = event.agentIncarnation === state.agentIncarnation;
  const unran = neverRan ? {...state, ran: state.ranBeforeAttempt} : state;
  const failure = neverRan
    ? createFailure('link-lost', 'The request was lost on its way.', {
        ran: 'no',
      })
    : createFailure(
        'backend-lost',
        'The node that ran the request has been replaced.',
      );
  return callRecovery.afterFailure(unran, failure, false, options);
}

function onLinkDown(
  state: CallState,
  event: Extract<CallEvent, {type: 'link-down'}>,
  now: number,
): CallStep {
  const isOurs = state.agentId === event.agentId;
  if (!isOurs || !['opening', 'active'].includes(state.phase)) {
    return quiet(state);
  }
  const ran = state.ran === 'no' ? 'unknown' : state.ran;
  return quiet({...state, phase: 'detached', detachedAt: now, ran});
}

function onLinkUp(
  state: CallState,
  event: Extract<CallEvent, {type: 'link-up'}>,
  options: CallOptions,
  now: number,
): CallStep {
  const isOurs = state.agentId === event.agentId;
  if (!isOurs || state.phase !== 'detached') return quiet(state);
  if (event.agentIncarnation !== state.agentIncarnation) {
    const failure = createFailure(
      'backend-lost',
      'The node that ran the request has restarted.',
    );
    return callRecovery.afterFailure(state, failure, false, options);
  }
  return attach({...state, phase: 'active', lastReceivedAt: now}, now);
}

/** What follows when the link of an attempt goes or comes back. */
export const callLinks = {attach, onUnseen, onLinkDown, onLinkUp};
