import type {Claim} from './claim.js';
import type {ClaimChange} from './claim_change.js';
import type {ClaimResult} from './claim_result.js';
import type {ClaimSegment} from './claim_segment.js';

/** A segment after some changes, and the state of each change. */
interface AppliedChanges {
  readonly segment: ClaimSegment;
  /** Changes that take effect once the segment is written. */
  readonly pending: readonly ClaimChange[];
  /** Results that follow from the segment as it was read, without a write. */
  readonly settled: readonly ClaimResult[];
  /** Changes whose result needs a read that is newer than their submission. */
  readonly unsettled: readonly ClaimChange[];
}

type ClaimRequest = Extract<ClaimChange, {type: 'claim'}>;
type OutcomeChange = Extract<ClaimChange, {type: 'outcome'}>;

function withClaim(segment: ClaimSegment, claim: Claim): ClaimSegment {
  return {...segment, claims: {...segment.claims, [claim.key]: claim}};
}

function applyClaim(
  applied: AppliedChanges,
  change: ClaimRequest,
  readAt: number,
): AppliedChanges {
  const {claim, replaces} = change;
  const {attemptId} = claim;
  const found = Object.hasOwn(applied.segment.claims, claim.key)
    ? applied.segment.claims[claim.key]
    : undefined;
  const settle = (result: ClaimResult): AppliedChanges => ({
    ...applied,
    settled: [...applied.settled, result],
  });
  if (found?.attemptId === attemptId) {
    return {...applied, pending: [...applied.pending, change]};
  }
  if (found && found.attemptId !== replaces) {
    const mayBeStale = found.state === 'claimed' && readAt < change.submittedAt;
    return mayBeStale
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

function applyOutcome(
  applied: AppliedChanges,
  change: OutcomeChange,
): AppliedChanges {
  const {key, attemptId, outcome} = change;
  const found = applied.segment.claims[key];
  if (!found || found.attemptId !== attemptId) {
    const ignored: ClaimResult = {type: 'stored', attemptId};
    return {...applied, settled: [...applied.settled, ignored]};
  }
  const claim: Claim = {...found, state: 'done', outcome};
  return {
    ...applied,
    segment: withClaim(applied.segment, claim),
    pending: [...applied.pending, change],
  };
}

/**
 * Applies changes to a segment that was read at `readAt` (milliseconds). A
 * claimed key stays with its attempt unless the change replaces an attempt
 * that is proven never to run.
 */
export function applyClaimChanges(
  segment: ClaimSegment,
  changes: readonly ClaimChange[],
  readAt: number,
): AppliedChanges {
  const start: AppliedChanges = {
    segment,
    pending: [],
    settled: [],
    unsettled: [],
  };
  return changes.reduce<AppliedChanges>(
    (applied, change) =>
      change.type === 'claim'
        ? applyClaim(applied, change, readAt)
        : applyOutcome(applied, change),
    start,
  );
}
