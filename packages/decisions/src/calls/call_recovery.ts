import {createFailure} from '../errors/create_failure.js';
import {ERROR_DEFINITIONS} from '../errors/error_definitions.js';
import type {Failure} from '../errors/failure.js';
import type {CallCommand} from './call_command.js';
import type {CallOptions} from './call_options.js';
import type {CallState} from './call_state.js';
import type {CallStep} from './call_step.js';
import {resumeWait} from './resume_wait.js';

/** Engine crashes after which a request is not retried. */
const CRASHES_MAX = 2;

/** Returns whether the request ran, over all of its attempts. */
function ranOf(state: CallState, failure: Failure): Failure['ran'] {
  if (state.ran === 'no') return failure.ran;
  return state.nextIndex > 0 ? 'yes' : state.ran;
}

/** Ends the request with a failure. */
function end(state: CallState, failure: Failure): CallStep {
  return {
    state: {...state, phase: 'ended', lastFailure: failure},
    commands: [
      {type: 'fail', failure: {...failure, ran: ranOf(state, failure)}},
    ],
  };
}

/** Routes the request to an agent that is not in `exclude`. */
function routeAgain(state: CallState, exclude: readonly string[]): CallStep {
  return {
    state: {...state, phase: 'routing', exclude},
    commands: [
      {
        type: 'route',
        exclude,
        isRetry: state.attempts > 0,
        runsAlone: state.crashes > 0,
      },
    ],
  };
}

function afterCrash(state: CallState, failure: Failure): CallStep {
  const crashes = state.crashes + 1;
  const record: CallCommand = {type: 'record-crash', crashes};
  const updated = {...state, crashes};
  if (crashes < CRASHES_MAX) {
    const rerouted = routeAgain(updated, state.agentId ? [state.agentId] : []);
    return {state: rerouted.state, commands: [record, ...rerouted.commands]};
  }
  const ended = end(
    updated,
    createFailure(
      'suspect-request',
      `${crashes} backend servers crashed while running this request. It is refused for several minutes: ${failure.message}`,
      {ran: 'yes'},
    ),
  );
  return {state: ended.state, commands: [record, ...ended.commands]};
}

/** Transitions when an attempt ends without a complete response. */
export const callRecovery = {
  end,
  routeAgain,

  /** Tries another agent after a refusal, or fails the request. */
  afterRefusal(
    state: CallState,
    failure: Failure,
    options: CallOptions,
    now: number,
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
    if (resumeWait.applies(next, failure, options, now)) {
      const refused = resumeWait.countRefusal(next);
      return resumeWait.mustPause(refused, options)
        ? {state: resumeWait.begin(refused, 'refused', now), commands: []}
        : routeAgain(refused, refusedBy);
    }
    const mayRetryElsewhere = ERROR_DEFINITIONS[failure.kind].retryElsewhere;
    return mayRetryElsewhere && refusedBy.length < options.maxOffers
      ? routeAgain(next, refusedBy)
      : end(next, failure);
  },

  /** Retries after an attempt that may have run, or fails the request. */
  afterFailure(
    state: CallState,
    failure: Failure,
    crashed: boolean,
    options: CallOptions,
  ): CallStep {
    const ran = failure.ran === 'no' ? state.ran : failure.ran;
    const next = {...state, ran, lastFailure: failure, refusedBy: []};
    const mayRetryElsewhere = ERROR_DEFINITIONS[failure.kind].retryElsewhere;
    const isSafeToRetry = options.idempotent || failure.ran === 'no';
    if (
      !isSafeToRetry ||
      !mayRetryElsewhere ||
      state.attempts >= options.maxAttempts
    ) {
      return end(next, failure);
    }
    if (crashed && state.nextIndex === 0) return afterCrash(next, failure);
    return routeAgain(next, state.agentId ? [state.agentId] : []);
  },
};
