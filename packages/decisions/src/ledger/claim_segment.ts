import type {Claim} from './claim.js';

/** The claims that one object of the platform holds. */
export interface ClaimSegment {
  /** True once new keys go to the next part. */
  readonly sealed: boolean;
  readonly claims: Readonly<Record<string, Claim>>;
}
