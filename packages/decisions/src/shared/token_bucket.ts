/** A token bucket; all functions return a new bucket. */
interface Bucket {
  readonly tokens: number;
  readonly updatedAt: number;
}

interface BucketLimits {
  /** Tokens added a second. */
  readonly perSecond: number;
  /** Largest number of tokens held. */
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

/** Pure token bucket on a clock in milliseconds. */
export const tokenBucket = {
  full(limits: BucketLimits, now: number): Bucket {
    return {tokens: limits.burst, updatedAt: now};
  },

  /** Takes `amount` tokens, or nothing where there are fewer. */
  take(bucket: Bucket, limits: BucketLimits, amount: number, now: number) {
    const refilled = refill(bucket, limits, now);
    if (refilled.tokens < amount) return {bucket: refilled, taken: false};
    return {
      bucket: {...refilled, tokens: refilled.tokens - amount},
      taken: true,
    };
  },

  /** Adds `amount` tokens up to the burst. */
  put(bucket: Bucket, limits: BucketLimits, amount: number, now: number) {
    const refilled = refill(bucket, limits, now);
    const tokens = Math.min(limits.burst, refilled.tokens + amount);
    return {...refilled, tokens};
  },
};
