import type {ClaimSegment} from './claim_segment.js';

/** Bytes of a claim in JSON beside its key and its outcome's body. */
const CLAIM_BYTES = 420;

/** Estimates the size in bytes of a segment that is written as JSON. */
export function estimateSegmentBytes(segment: ClaimSegment): number {
  return Object.values(segment.claims).reduce(
    (bytes, claim) =>
      bytes +
      CLAIM_BYTES +
      claim.key.length * 2 +
      (claim.outcome?.body?.length ?? 0),
    0,
  );
}
