import type {SimulatedEngine} from './simulated_engine.js';

/** The model engines of the users' sheets. */
export const REFERENCE_ENGINE: SimulatedEngine = {
  slots: 11,
  stepMs: 0.85,
  stepMsPerSequence: 0.004,
  prefillTokensPerMs: 177,
  attentionMsPerMillionPairs: 0.184,
  stepsPerPass: 51,
  chunkTokens: 2_048,
  kvCacheTokens: 315_000,
};
