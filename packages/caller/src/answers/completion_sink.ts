import type {Failure} from '@figfall/decisions';

/** Takes the answer to a completion as it comes. */
export interface CompletionSink {
  /** Returns false where the caller reads slower than tokens come. */
  readonly writeTokens: (texts: readonly string[]) => boolean;
  readonly complete: () => void;
  readonly fail: (failure: Failure) => void;
  readonly onDrain: (listener: () => void) => void;
  readonly onDisconnect: (listener: () => void) => void;
}
