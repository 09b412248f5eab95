import {createFailure} from '../errors/create_failure.js';
import {mayHaveRun} from '../errors/may_have_run.js';
import type {CallEvent} from './call_event.js';
import type {CallOptions} from './call_options.js';
import {callRecovery} from './call_recovery.js';
import type {CallState} from './call_state.js';
import type {CallStep} from './call_step.js';

function noCommands(state: CallState): CallStep {
  return {state, commands: []};
}

/** Asks the agent for the state of the attempt and the tokens missed. */
function attach(state: CallState, now: number): CallStep {
  const {agentId, attemptId} = state;
  if (!agentId || !attemptId) return noCommands(state);
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
  const updated = neverRan ? {...state, ran: state.ranBeforeAttempt} : state;
  const failure = neverRan
    ? createFailure(
        'link-lost',
        'The request was lost before it reached the node.',
        {ran: 'no'},
      )
    : createFailure(
        'backend-lost',
        'The node that ran the request has been replaced.',
      );
  return callRecovery.afterFailure(updated, failure, false, options);
}

function onLinkDown(
  state: CallState,
  event: Extract<CallEvent, {type: 'link-down'}>,
  now: number,
): CallStep {
  const isCurrentAgent = state.agentId === event.agentId;
  if (!isCurrentAgent || !['opening', 'active'].includes(state.phase)) {
    return noCommands(state);
  }
  const ran = mayHaveRun(state.ran);
  return noCommands({...state, phase: 'detached', detachedAt: now, ran});
}

function onLinkUp(
  state: CallState,
  event: Extract<CallEvent, {type: 'link-up'}>,
  options: CallOptions,
  now: number,
): CallStep {
  const isCurrentAgent = state.agentId === event.agentId;
  if (!isCurrentAgent || state.phase !== 'detached') return noCommands(state);
  if (event.agentIncarnation !== state.agentIncarnation) {
    const failure = createFailure(
      'backend-lost',
      'The node that ran the request has restarted.',
    );
    return callRecovery.afterFailure(state, failure, false, options);
  }
  return attach({...state, phase: 'active', lastReceivedAt: now}, now);
}

/** Transitions when the link to an attempt's agent is lost or restored. */
export const callLinks = {attach, onUnseen, onLinkDown, onLinkUp};
