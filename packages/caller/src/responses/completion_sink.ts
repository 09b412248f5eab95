import type {Failure} from '@figfall/decisions';

/** Sends the response to a completion; ends with `complete` or `fail`. */
export interface CompletionSink {
  /** Returns false if the caller reads too slowly; wait for `onDrain` then. */
  readonly writeTokens: (texts: readonly string[]) => boolean;
  readonly complete: () => void;
  readonly fail: (failure: Failure) => void;
  /** Calls the listener each time the write buffer is empty again. */
  readonly onDrain: (listener: () => void) => void;
  /** Calls the listener if the caller disconnects before the end. */
  readonly onDisconnect: (listener: () => void) => void;
}
