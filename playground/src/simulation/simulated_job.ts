import type {PrefillPart} from './prefill_part.js';

/** A prompt that a simulated server processes. */
export interface SimulatedJob {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Servers that prefill parts of the prompt. */
  readonly helpers: readonly {readonly addPart: (part: PrefillPart) => void}[];
  /** Priority at the engine; 0 goes first. */
  readonly priority: number;
  /** Called with the index of each event of the stream. */
  readonly onEvent: (index: number) => void;
  readonly onEnd: () => void;
}
