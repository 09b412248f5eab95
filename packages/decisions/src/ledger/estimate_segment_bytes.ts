import type {ClaimSegment} from './claim_segment.js';

/** Size of a claim in JSON without its key and the body of its outcome. */
const CLAIM_BYTES = 420;

/** Estimates the size of a segment in JSON, in bytes. */
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
