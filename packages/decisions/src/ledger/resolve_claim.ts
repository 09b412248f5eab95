import type {ClaimOutcome} from './claim_outcome.js';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {Claim} from './claim.js';

/** What an agent knows of an attempt that it claimed itself. */
type AttemptFate = 'running' | 'dispatched' | 'never-dispatched' | 'forgotten';

/** The node that judges a claim. */
interface Judge {
  readonly agentId: string;
  readonly incarnation: string;
  readonly fingerprint: string;
  readonly attemptStatus: (attemptId: string) => AttemptFate;
}

/** What a resend of a key gets. */
type Judgement =
  | {
      readonly type: 'answer';
      readonly outcome: ClaimOutcome;
    }
  | {
      /** The attempt never runs; a new one may replace it. */
      readonly type: 'replace';
      readonly attemptId: string;
    }
  | {readonly type: 'ask'; readonly agentId: string; readonly failure: Failure}
  | {readonly type: 'refuse'; readonly failure: Failure};

const UNKNOWN = createFailure(
  'outcome-unknown',
  'The node that may have run this request is gone. Its outcome is unknown and it will not be run again; look it up at the service.',
);

const IN_PROGRESS = createFailure(
  'in-progress',
  'A request with this idempotency key is running. Ask again with the same key.',
);

function judgeOwn(claim: Claim, judge: Judge): Judgement {
  const verdicts: Record<AttemptFate, Judgement> = {
    running: {type: 'refuse', failure: IN_PROGRESS},
    dispatched: {type: 'refuse', failure: UNKNOWN},
    forgotten: {type: 'refuse', failure: UNKNOWN},
    'never-dispatched': {type: 'replace', attemptId: claim.attemptId},
  };
  return verdicts[judge.attemptStatus(claim.attemptId)];
}

/**
 * Decides what a resend of a claimed key gets. Only the incarnation that a
 * claim names can prove that its attempt never ran, and having said so it
 * never runs the attempt.
 */
export function resolveClaim(claim: Claim, judge: Judge): Judgement {
  if (claim.fingerprint !== judge.fingerprint) {
    const failure = createFailure(
      'key-reused',
      'This idempotency key was used for a request with another body. Use a new key for a new request.',
    );
    return {type: 'refuse', failure};
  }
  if (claim.state === 'done' && claim.outcome) {
    return {type: 'answer', outcome: claim.outcome};
  }
  if (claim.agentId !== judge.agentId) {
    const {agentId} = claim;
    const failure = createFailure(
      'claimed-elsewhere',
      `The request was claimed by agent ${agentId}, which alone can tell its outcome.`,
    );
    return {type: 'ask', agentId, failure};
  }
  if (claim.incarnation !== judge.incarnation) {
    return {type: 'refuse', failure: UNKNOWN};
  }
  return judgeOwn(claim, judge);
}
