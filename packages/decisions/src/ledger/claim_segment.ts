import type {Claim} from './claim.js';

/** The claims in one ledger object of the platform. */
export interface ClaimSegment {
  /** True once the segment is full and new keys go to the next part. */
  readonly sealed: boolean;
  /** Claims by idempotency key. */
  readonly claims: Readonly<Record<string, Claim>>;
}
