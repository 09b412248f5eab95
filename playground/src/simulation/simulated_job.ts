import type {PrefillPart} from './prefill_part.js';

/** A prompt at an emulated server. */
export interface SimulatedJob {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Servers that read parts of the prompt. */
  readonly helpers: readonly {readonly addPart: (part: PrefillPart) => void}[];
  /** Rank at the engine; 0 goes first. */
  readonly priority: number;
  readonly onEvent: (index: number) => void;
  readonly onEnd: () => void;
}
