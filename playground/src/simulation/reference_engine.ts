import type {SimulatedEngine} from './simulated_engine.js';

/** Parameters of the model engine in the users' specifications. */
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
