import type {ClaimOutcome} from './claim_outcome.js';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {Claim} from './claim.js';

/**
 * What an agent knows of an attempt that it claimed itself; `expired` if its
 * records don't reach back to the attempt.
 */
type AttemptStatus = 'running' | 'dispatched' | 'never-dispatched' | 'expired';

/** The agent that resolves a claim, and the request that it holds. */
interface ClaimReader {
  readonly agentId: string;
  readonly incarnation: string;
  readonly fingerprint: string;
  readonly attemptStatus: (attemptId: string) => AttemptStatus;
}

/** How a resent request with a claimed key is handled. */
type ClaimResolution =
  | {
      /** The stored response is returned. */
      readonly type: 'answer';
      readonly outcome: ClaimOutcome;
    }
  | {
      /** The claiming attempt never runs; a new attempt may replace it. */
      readonly type: 'replace';
      readonly attemptId: string;
    }
  | {
      /** Only this agent can tell the outcome; `failure` applies if it can't. */
      readonly type: 'ask';
      readonly agentId: string;
      readonly failure: Failure;
    }
  | {readonly type: 'refuse'; readonly failure: Failure};

const OUTCOME_UNKNOWN = createFailure(
  'outcome-unknown',
  'The agent that may have run this request has restarted or has no record of its outcome. The outcome is unknown and the request will not be run again. Look up the outcome at the service.',
);

const IN_PROGRESS = createFailure(
  'in-progress',
  'A request with this idempotency key is running. Retry with the same key.',
);

function resolveOwn(claim: Claim, reader: ClaimReader): ClaimResolution {
  const resolutions: Record<AttemptStatus, ClaimResolution> = {
    running: {type: 'refuse', failure: IN_PROGRESS},
    dispatched: {type: 'refuse', failure: OUTCOME_UNKNOWN},
    expired: {type: 'refuse', failure: OUTCOME_UNKNOWN},
    'never-dispatched': {type: 'replace', attemptId: claim.attemptId},
  };
  return resolutions[reader.attemptStatus(claim.attemptId)];
}

/**
 * Decides how a resent request with a claimed key is handled. Only the agent
 * incarnation that the claim names can prove that its attempt never ran; it
 * must not run the attempt after it has reported that.
 */
export function resolveClaim(
  claim: Claim,
  reader: ClaimReader,
): ClaimResolution {
  if (claim.fingerprint !== reader.fingerprint) {
    const failure = createFailure(
      'key-reused',
      'This idempotency key was used for a request with a different body. Use a new key for a new request.',
    );
    return {type: 'refuse', failure};
  }
  if (claim.state === 'done' && claim.outcome) {
    return {type: 'answer', outcome: claim.outcome};
  }
  if (claim.agentId !== reader.agentId) {
    const {agentId} = claim;
    const failure = createFailure(
      'claimed-elsewhere',
      `The request was claimed by agent ${agentId}, and only that agent can tell the outcome.`,
    );
    return {type: 'ask', agentId, failure};
  }
  if (claim.incarnation !== reader.incarnation) {
    return {type: 'refuse', failure: OUTCOME_UNKNOWN};
  }
  return resolveOwn(claim, reader);
}
