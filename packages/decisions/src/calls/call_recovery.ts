import {createFailure} from '../errors/create_failure.js';
import {ERROR_ANSWERS} from '../errors/error_answers.js';
import type {Failure} from '../errors/failure.js';
import type {CallCommand} from './call_command.js';
import type {CallOptions} from './call_options.js';
import type {CallState} from './call_state.js';
import type {CallStep} from './call_step.js';

/** Crashes after which a request is not tried again. */
const CRASHES_MAX = 2;

function ranOf(state: CallState, failure: Failure): Failure['ran'] {
  if (state.ran === 'no') return failure.ran;
  return state.nextIndex > 0 ? 'yes' : state.ran;
}

function end(state: CallState, failure: Failure): CallStep {
  return {
    state: {...state, phase: 'ended', lastFailure: failure},
    commands: [
      {type: 'fail', failure: {...failure, ran: ranOf(state, failure)}},
    ],
  };
}

function routeAgain(state: CallState, exclude: readonly string[]): CallStep {
  return {
    state: {...state, phase: 'routing', exclude},
    commands: [
      {
        type: 'route',
        exclude,
        isRetry: state.attempts > 0,
        alone: state.crashes > 0,
      },
    ],
  };
}

function afterCrash(state: CallState, failure: Failure): CallStep {
  const crashes = state.crashes + 1;
  const record: CallCommand = {type: 'record-crash', crashes};
  const counted = {...state, crashes};
  if (crashes < CRASHES_MAX) {
    const again = routeAgain(counted, state.agentId ? [state.agentId] : []);
    return {state: again.state, commands: [record, ...again.commands]};
  }
  const refused = end(
    counted,
    createFailure(
      'suspect-request',
      `${crashes} backend servers crashed while they ran this request. It is refused for some minutes: ${failure.message}`,
      {ran: 'yes'},
    ),
  );
  return {state: refused.state, commands: [record, ...refused.commands]};
}

/** What follows when an attempt ends without an answer. */
export const callRecovery = {
  end,
  routeAgain,

  /** Follows a refusal before dispatch. */
  afterRefusal(
    state: CallState,
    failure: Failure,
    options: CallOptions,
  ): CallStep {
    const refusedBy = state.agentId
      ? [...state.refusedBy, state.agentId]
      : state.refusedBy;
    const wasAccepted = state.phase === 'active';
    const next = {
      ...state,
      refusedBy,
      lastFailure: failure,
      ran: state.ranBeforeAttempt,
      attempts: state.attempts - (wasAccepted ? 1 : 0),
    };
    const mayMove = ERROR_ANSWERS[failure.kind].elsewhere;
    if (!mayMove || refusedBy.length >= options.maxOffers) {
      return end(next, failure);
    }
    return routeAgain(next, refusedBy);
  },

  /** Follows a failure of an attempt that may have run. */
  afterFailure(
    state: CallState,
    failure: Failure,
    crashed: boolean,
    options: CallOptions,
  ): CallStep {
    const ran = failure.ran === 'no' ? state.ran : failure.ran;
    const next = {...state, ran, lastFailure: failure, refusedBy: []};
    const mayMove = ERROR_ANSWERS[failure.kind].elsewhere;
    const mayRepeat = options.idempotent || failure.ran === 'no';
    if (!mayRepeat || !mayMove || state.attempts >= options.maxAttempts) {
      return end(next, failure);
    }
    if (crashed && state.nextIndex === 0) return afterCrash(next, failure);
    return routeAgain(next, state.agentId ? [state.agentId] : []);
  },
};
