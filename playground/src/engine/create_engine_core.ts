import type {EngineOptions} from './engine_options.js';
import {createPrefixCache} from './create_prefix_cache.js';
import {promptDigest} from './prompt_digest.js';
import type {Sequence} from './sequence.js';

const STEP_MS = 4;
const CACHE_BLOCKS = 2_000;
const TOKENS_PER_BLOCK = promptDigest.BLOCK_CHARS / 4;

/** Largest number of running requests seen over what a cold engine bears. */
interface ColdStartStats {
  maxOverLimit: number;
  /** Requests that came to a cold engine when it had all that it bears. */
  arrivalsOverLimit: number;
}

/** Continuous batching, memory and cold starts of the stand-in engine. */
export function createEngineCore(options: EngineOptions) {
  const sequences = new Map<string, Sequence>();
  const cache = createPrefixCache(CACHE_BLOCKS);
  const coldStats: ColdStartStats = {maxOverLimit: 0, arrivalsOverLimit: 0};
  let incarnation = 1;
  let completions = 0;
  let coldSince = Date.now();
  let timer: NodeJS.Timeout | undefined;
  let steppedAt = Date.now();

  const isCold = (): boolean =>
    completions < options.coldCompletions ||
    Date.now() - coldSince < options.coldMs;
  const list = () => [...sequences.values()];
  const running = () => list().filter(({state}) => state !== 'held');
  const usedTokens = () =>
    list()
      .filter(({state}) => state !== 'waiting')
      .reduce((sum, {memory}) => sum + memory, 0);
  const slowdown = () => (isCold() ? options.coldFactor : 1);

  const remove = (id: string): void => {
    sequences.delete(id);
  };

  const crash = (): void => {
    const all = list();
    sequences.clear();
    cache.clear();
    incarnation += 1;
    completions = 0;
    coldSince = Date.now();
    all.forEach(sequence => sequence.onCrash());
  };

  const admit = (): void => {
    list()
      .filter(({state}) => state === 'waiting')
      .sort((a, b) => a.priority - b.priority || a.arrived - b.arrived)
      .forEach(sequence => {
        if (usedTokens() + sequence.memory > options.totalTokens) return;
        const cached = cache.leading(sequence.blocks) * TOKENS_PER_BLOCK;
        sequence.toPrefill = Math.max(1, sequence.toPrefill - cached);
        sequence.state = 'prefill';
      });
  };

  const endPrefill = (sequence: Sequence): void => {
    cache.add(sequence.blocks);
    if (sequence.kind === 'segment') {
      sequence.state = 'held';
      return sequence.onEnd();
    }
    sequence.state = 'decode';
    sequence.nextTokenAt = Date.now();
  };

  const prefill = (elapsedMs: number): void => {
    const rate = options.prefillRate / slowdown();
    let budget = (rate * elapsedMs) / 1_000;
    const queue = list()
      .filter(({state}) => state === 'prefill')
      .sort((a, b) => a.priority - b.priority || a.arrived - b.arrived);
    for (const sequence of queue) {
      if (budget <= 0) return;
      const share = Math.min(budget, sequence.toPrefill);
      sequence.toPrefill -= share;
      budget -= share;
      if (sequence.toPrefill > 0.5) continue;
      if (sequence.crashes) return crash();
      endPrefill(sequence);
    }
  };

  const intervalMs = (batch: number): number => {
    const crowding = Math.max(1, batch / options.batchKnee);
    return options.decodeMs * crowding * slowdown();
  };

  const decode = (): void => {
    const now = Date.now();
    const batch = list().filter(({state}) => state === 'decode');
    const interval = intervalMs(batch.length);
    batch.forEach(sequence => {
      while (
        sequence.nextIndex < sequence.lastIndex &&
        sequence.nextTokenAt <= now
      ) {
        const index = sequence.nextIndex++;
        sequence.nextTokenAt += interval;
        sequence.onToken(index, promptDigest.tokenText(sequence.digest, index));
      }
      if (sequence.nextIndex < sequence.lastIndex) return;
      remove(sequence.id);
      completions += 1;
      sequence.onEnd();
    });
  };

  const step = (): void => {
    const now = Date.now();
    const elapsed = Math.min(100, now - steppedAt);
    steppedAt = now;
    if (options.frozen) return;
    if (isCold()) {
      const excess = running().length - options.coldRunning;
      coldStats.maxOverLimit = Math.max(coldStats.maxOverLimit, excess);
    }
    admit();
    prefill(elapsed);
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
      steppedAt = Date.now();
      timer = setInterval(step, STEP_MS);
    },
    cancel: remove,
    has: (id: string) => sequences.has(id),
    digestOf: (id: string) => sequences.get(id)?.digest,
    /** Becomes cold without a restart. */
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
      freeTokens: options.totalTokens - usedTokens(),
      held: [...sequences.keys()],
      models: [...options.models],
    }),
  };
}
