/** Constants of routing. */
export const ROUTING = {
  /** Prompts over this many tokens count as long. */
  LONG_PROMPT_TOKENS: 20_000,
  /** Replicas compared for one affinity key. */
  AFFINITY_CANDIDATES: 3,
  /** Part of a prompt's own prefill time that a prefix hit is worth. */
  AFFINITY_DISCOUNT_SHARE: 0.2,
  /** Agents drawn at random beside the affinity candidates. */
  SAMPLED_CANDIDATES: 5,
  /** Predicted cost in milliseconds of leaving the availability zone. */
  ZONE_PENALTY_MS: 2,
  /** Predicted cost in milliseconds of leaving the region. */
  REGION_PENALTY_MS: 150,
  /** Share of a model's replicas that long prompts may use at least. */
  LONG_SHARE_MIN: 0.25,
  /** Share of a model's replicas that long prompts may use at most. */
  LONG_SHARE_MAX: 0.75,
  /** Milliseconds for which an agent that refused is not asked again. */
  REFUSAL_AVOID_MS: 250,
  /** Prefill rate, in tokens a second, assumed before one is measured. */
  ASSUMED_PREFILL_TOKENS_PER_SECOND: 20_000,
} as const;
