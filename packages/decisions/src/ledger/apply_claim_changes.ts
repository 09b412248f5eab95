import type {Claim} from './claim.js';
import type {ClaimChange} from './claim_change.js';
import type {ClaimResult} from './claim_result.js';
import type {ClaimSegment} from './claim_segment.js';

/** A segment with changes applied, and what follows for each change. */
interface Applied {
  readonly segment: ClaimSegment;
  /** Changes that hold as soon as the segment is written. */
  readonly pending: readonly ClaimChange[];
  /** Changes that are settled by the segment as it was read. */
  readonly settled: readonly ClaimResult[];
  /** Changes that need a newer read before they can be settled. */
  readonly unsettled: readonly ClaimChange[];
}

type ClaimRequest = Extract<ClaimChange, {type: 'claim'}>;
type OutcomeChange = Extract<ClaimChange, {type: 'outcome'}>;

function withClaim(segment: ClaimSegment, claim: Claim): ClaimSegment {
  return {...segment, claims: {...segment.claims, [claim.key]: claim}};
}

function applyClaim(
  applied: Applied,
  change: ClaimRequest,
  readAt: number,
): Applied {
  const {claim, replaces} = change;
  const {attemptId} = claim;
  const found = Object.hasOwn(applied.segment.claims, claim.key)
    ? applied.segment.claims[claim.key]
    : undefined;
  const settle = (result: ClaimResult): Applied => ({
    ...applied,
    settled: [...applied.settled, result],
  });
  if (found?.attemptId === attemptId) {
    return {...applied, pending: [...applied.pending, change]};
  }
  if (found && found.attemptId !== replaces) {
    const mayBeOld = found.state === 'claimed' && readAt < change.submittedAt;
    return mayBeOld
      ? {...applied, unsettled: [...applied.unsettled, change]}
      : settle({type: 'exists', attemptId, claim: found});
  }
  if (!found && applied.segment.sealed) {
    return settle({type: 'sealed', attemptId});
  }
  return {
    ...applied,
    segment: withClaim(applied.segment, claim),
    pending: [...applied.pending, change],
  };
}

function applyOutcome(applied: Applied, change: OutcomeChange): Applied {
  const {key, attemptId, outcome} = change;
  const found = applied.segment.claims[key];
  if (!found || found.attemptId !== attemptId) {
    const lost: ClaimResult = {type: 'stored', attemptId};
    return {...applied, settled: [...applied.settled, lost]};
  }
  const claim: Claim = {...found, state: 'done', outcome};
  return {
    ...applied,
    segment: withClaim(applied.segment, claim),
    pending: [...applied.pending, change],
  };
}

/**
 * Applies changes to a segment. A key that is claimed stays with its attempt,
 * except where the change proves that the attempt never runs.
 */
export function applyClaimChanges(
  segment: ClaimSegment,
  changes: readonly ClaimChange[],
  readAt: number,
): Applied {
  const start: Applied = {segment, pending: [], settled: [], unsettled: []};
  return changes.reduce<Applied>(
    (applied, change) =>
      change.type === 'claim'
        ? applyClaim(applied, change, readAt)
        : applyOutcome(applied, change),
    start,
  );
}
