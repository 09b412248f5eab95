import type {EngineProfile} from './engine_profile.js';

const PAIRS_PER_MILLION = 1_000_000;

/** Predicts durations of a model engine, in milliseconds. */
export const engineTime = {
  /** Prefill of a whole prompt on one idle engine; attention is quadratic. */
  prefillMs(profile: EngineProfile, promptTokens: number): number {
    const pairs = (promptTokens * promptTokens) / 2;
    const attentionMs =
      (pairs / PAIRS_PER_MILLION) * profile.attentionMsPerMillionPairs;
    return promptTokens / profile.prefillTokensPerMs + attentionMs;
  },

  /** Decoding in one scheduling pass with `decoding` requests in the batch. */
  passMs(profile: EngineProfile, decoding: number): number {
    const stepMs = profile.stepMs + profile.stepMsPerSequence * decoding;
    return profile.stepsPerPass * stepMs;
  },
};
