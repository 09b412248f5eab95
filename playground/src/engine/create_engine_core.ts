import type {EngineOptions} from './engine_options.js';
import {createPrefixCache} from './create_prefix_cache.js';
import {promptDigest} from './prompt_digest.js';
import type {Sequence} from './sequence.js';

const STEP_MS = 4;
const CACHE_BLOCKS_MAX = 2_000;
const TOKENS_PER_BLOCK = promptDigest.BLOCK_CHARS / 4;

/** How far a cold engine exceeded its limit of running requests. */
interface ColdStartStats {
  /** Largest number of running requests over the limit. */
  maxOverLimit: number;
  /** Requests that arrived while a cold engine was at its limit. */
  arrivalsOverLimit: number;
}

/**
 * Creates the scheduler of the fake engine: continuous batching, memory, the
 * prefix cache and cold starts.
 */
export function createEngineCore(options: EngineOptions) {
  const sequences = new Map<string, Sequence>();
  const cache = createPrefixCache(CACHE_BLOCKS_MAX);
  const coldStats: ColdStartStats = {maxOverLimit: 0, arrivalsOverLimit: 0};
  let incarnation = 1;
  let completions = 0;
  let coldSince = Date.now();
  let timer: NodeJS.Timeout | undefined;
  let lastStepAt = Date.now();

  const isCold = (): boolean =>
    completions < options.coldCompletions ||
    Date.now() - coldSince < options.coldMs;
  const allSequences = () => [...sequences.values()];
  const running = () => allSequences().filter(({state}) => state !== 'held');
  const usedMemoryTokens = () =>
    allSequences()
      .filter(({state}) => state !== 'waiting')
      .reduce((sum, {memoryTokens}) => sum + memoryTokens, 0);
  const slowdownFactor = () => (isCold() ? options.coldFactor : 1);

  const remove = (id: string): void => {
    sequences.delete(id);
  };

  const crash = (): void => {
    const crashed = allSequences();
    sequences.clear();
    cache.clear();
    incarnation += 1;
    completions = 0;
    coldSince = Date.now();
    crashed.forEach(sequence => sequence.onCrash());
  };

  const admit = (): void => {
    allSequences()
      .filter(({state}) => state === 'waiting')
      .sort(
        (a, b) => a.priority - b.priority || a.arrivalIndex - b.arrivalIndex,
      )
      .forEach(sequence => {
        if (usedMemoryTokens() + sequence.memoryTokens > options.totalTokens)
          return;
        const cachedTokens =
          cache.countLeading(sequence.blockDigests) * TOKENS_PER_BLOCK;
        sequence.tokensToPrefill = Math.max(
          1,
          sequence.tokensToPrefill - cachedTokens,
        );
        sequence.state = 'prefill';
      });
  };

  const completePrefill = (sequence: Sequence): void => {
    cache.add(sequence.blockDigests);
    if (sequence.kind === 'segment') {
      sequence.state = 'held';
      return sequence.onEnd();
    }
    sequence.state = 'decode';
    sequence.nextTokenAt = Date.now();
  };

  const prefill = (elapsedMs: number): void => {
    const rate = options.prefillRate / slowdownFactor();
    let budget = (rate * elapsedMs) / 1_000;
    const queue = allSequences()
      .filter(({state}) => state === 'prefill')
      .sort(
        (a, b) => a.priority - b.priority || a.arrivalIndex - b.arrivalIndex,
      );
    for (const sequence of queue) {
      if (budget <= 0) return;
      const tokens = Math.min(budget, sequence.tokensToPrefill);
      sequence.tokensToPrefill -= tokens;
      budget -= tokens;
      if (sequence.tokensToPrefill > 0.5) continue;
      if (sequence.crashesEngine) return crash();
      completePrefill(sequence);
    }
  };

  const tokenIntervalMs = (batch: number): number => {
    const batchFactor = Math.max(1, batch / options.batchKnee);
    return options.decodeMs * batchFactor * slowdownFactor();
  };

  const decode = (): void => {
    const now = Date.now();
    const batch = allSequences().filter(({state}) => state === 'decode');
    const intervalMs = tokenIntervalMs(batch.length);
    batch.forEach(sequence => {
      while (
        sequence.nextIndex < sequence.endIndex &&
        sequence.nextTokenAt <= now
      ) {
        const index = sequence.nextIndex++;
        sequence.nextTokenAt += intervalMs;
        sequence.onToken(
          index,
          promptDigest.tokenText(sequence.promptDigest, index),
        );
      }
      if (sequence.nextIndex < sequence.endIndex) return;
      remove(sequence.id);
      completions += 1;
      sequence.onEnd();
    });
  };

  const step = (): void => {
    const now = Date.now();
    const elapsedMs = Math.min(100, now - lastStepAt);
    lastStepAt = now;
    if (options.frozen) return;
    if (isCold()) {
      const excess = running().length - options.coldRunning;
      coldStats.maxOverLimit = Math.max(coldStats.maxOverLimit, excess);
    }
    admit();
    prefill(elapsedMs);
    decode();
    if (running().length > 0) return;
    clearInterval(timer);
    timer = undefined;
  };

  return {
    coldStats,
    crash,
    isCold,
    add: (sequence: Sequence): void => {
      sequences.set(sequence.id, sequence);
      const excess = running().length - options.coldRunning;
      if (isCold() && excess > 0) coldStats.arrivalsOverLimit += 1;
      if (timer) return;
      lastStepAt = Date.now();
      timer = setInterval(step, STEP_MS);
    },
    cancel: remove,
    has: (id: string) => sequences.has(id),
    digestOf: (id: string) => sequences.get(id)?.promptDigest,
    /** Makes the engine cold without a restart; running requests continue. */
    resetToCold: (): void => {
      completions = 0;
      coldSince = Date.now();
      cache.clear();
    },
    stop: (): void => {
      clearInterval(timer);
      sequences.clear();
    },
    load: () => ({
      incarnation: String(incarnation),
      cold: isCold() && !options.silentCold,
      running: running().length,
      totalTokens: options.totalTokens,
      freeTokens: options.totalTokens - usedMemoryTokens(),
      held: [...sequences.keys()],
      models: [...options.models],
    }),
  };
}
