/** Constants of routing. */
export const ROUTING = {
  /** Prompts with more tokens than this count as long. */
  LONG_PROMPT_TOKENS: 20_000,
  /** Number of agents that are candidates for one affinity key. */
  AFFINITY_CANDIDATES: 3,
  /** Share of prefill time that a prefix cache hit is assumed to save. */
  AFFINITY_DISCOUNT_SHARE: 0.2,
  /** Number of random candidates besides those with affinity. */
  SAMPLED_CANDIDATES: 5,
  /** Predicted cost in milliseconds of leaving the availability zone. */
  ZONE_PENALTY_MS: 2,
  /** Predicted cost in milliseconds of leaving the region. */
  REGION_PENALTY_MS: 150,
  /** Smallest share of a model's agents that long prompts may use. */
  LONG_SHARE_MIN: 0.25,
  /** Largest share of a model's agents that long prompts may use. */
  LONG_SHARE_MAX: 0.75,
  /** Milliseconds for which routing avoids an agent after a refusal. */
  REFUSAL_AVOID_MS: 250,
  /** Prefill rate that is assumed until one is measured. */
  ASSUMED_PREFILL_TOKENS_PER_SECOND: 20_000,
} as const;
