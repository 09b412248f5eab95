import type {EngineOptions} from './engine_options.js';

/** Fills in the default options of a fake engine. */
export function resolveEngineOptions(
  options: Partial<EngineOptions>,
): EngineOptions {
  return {
    prefillRate: 50_000,
    decodeMs: 15,
    batchKnee: 16,
    totalTokens: 400_000,
    coldRunning: 2,
    coldMs: 0,
    coldCompletions: 0,
    coldFactor: 4,
    loadLagMs: 100,
    silentCold: false,
    checksFencing: true,
    loadModelMs: 20,
    restartMs: 300,
    frozen: false,
    models: [],
    ...options,
  };
}
