/** State of a token bucket. */
interface Bucket {
  readonly tokens: number;
  /** Time of the last refill in milliseconds. */
  readonly updatedAt: number;
}

interface BucketLimits {
  /** Tokens added per second. */
  readonly perSecond: number;
  /** Maximum number of tokens. */
  readonly burst: number;
}

function refill(bucket: Bucket, limits: BucketLimits, now: number): Bucket {
  const elapsedMs = Math.max(0, now - bucket.updatedAt);
  const added = (elapsedMs / 1_000) * limits.perSecond;
  return {
    tokens: Math.min(limits.burst, bucket.tokens + added),
    updatedAt: Math.max(now, bucket.updatedAt),
  };
}

/**
 * Token bucket rate limiter. All functions return a new bucket; times are in
 * milliseconds.
 */
export const tokenBucket = {
  /** Creates a full bucket. */
  full(limits: BucketLimits, now: number): Bucket {
    return {tokens: limits.burst, updatedAt: now};
  },

  /** Takes `amount` tokens, or none if there are fewer. */
  take(bucket: Bucket, limits: BucketLimits, amount: number, now: number) {
    const refilled = refill(bucket, limits, now);
    if (refilled.tokens < amount) return {bucket: refilled, taken: false};
    return {
      bucket: {...refilled, tokens: refilled.tokens - amount},
      taken: true,
    };
  },

  /** Returns `amount` tokens to the bucket, up to `burst`. */
  put(bucket: Bucket, limits: BucketLimits, amount: number, now: number) {
    const refilled = refill(bucket, limits, now);
    const tokens = Math.min(limits.burst, refilled.tokens + amount);
    return {...refilled, tokens};
  },
};
