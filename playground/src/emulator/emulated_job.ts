import type {ReadPart} from './read_part.js';

/** A prompt at an emulated server. */
export interface EmulatedJob {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Servers that read parts of the prompt. */
  readonly helpers: readonly {readonly addPart: (part: ReadPart) => void}[];
  /** Rank at the engine; 0 goes first. */
  readonly priority: number;
  readonly onEvent: (index: number) => void;
  readonly onEnd: () => void;
}
