import {withNewest} from '../shared/with_newest.js';

/** The claim of a gateway to make the next trial of a key. */
interface TrialClaim {
  readonly gatewayId: string;
  /** Time in milliseconds of the first claim. */
  readonly at: number;
}

type TrialClaims = ReadonlyMap<string, TrialClaim>;

/** Milliseconds in which claims that were made side by side reach all gateways. */
const CONTEST_MS = 50;

/** Milliseconds after which a claim is void that no trial has followed. */
const CLAIM_TTL_MS = 500;

/** Largest number of claims kept; the oldest are dropped first. */
const CLAIMS_MAX = 1_024;

function find(
  claims: TrialClaims,
  key: string,
  now: number,
): TrialClaim | undefined {
  const claim = claims.get(key);
  return claim && now - claim.at < CLAIM_TTL_MS ? claim : undefined;
}

/**
 * Which gateway makes the trial of a blocked key. A gateway announces its claim
 * and waits until those made at the same moment have arrived; of these the one
 * with the lowest id counts.
 */
export const trialClaims = {
  empty(): TrialClaims {
    return new Map();
  },

  find,

  /** Adds a claim of this gateway or of another one. */
  add(
    claims: TrialClaims,
    {key, gatewayId}: {readonly key: string; readonly gatewayId: string},
    now: number,
  ): TrialClaims {
    const known = find(claims, key, now);
    if (known && known.gatewayId <= gatewayId) return claims;
    const claim = {gatewayId, at: known?.at ?? now};
    return withNewest(claims, key, claim, CLAIMS_MAX);
  },

  /** True if the gateway may make its trial now. */
  isWon(claim: TrialClaim, gatewayId: string, now: number): boolean {
    return claim.gatewayId === gatewayId && now - claim.at >= CONTEST_MS;
  },
};
