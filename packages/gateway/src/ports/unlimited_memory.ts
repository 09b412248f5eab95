import type {ResponseMemory} from './response_memory.js';

/** Memory without a limit, for simulations and tests. */
export const UNLIMITED_MEMORY: ResponseMemory = {
  take: () => true,
  giveBack: () => undefined,
  waitFor: () => () => undefined,
  mayEverTake: () => true,
};
