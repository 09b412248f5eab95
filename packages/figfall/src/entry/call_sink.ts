import type {Failure} from '@figfall/decisions';
import type {PlainServiceResponse} from '@figfall/node-link';

/** Where the response to one request goes; ends with `complete` or `fail`. */
export interface CallSink {
  /**
   * Passes new tokens on. Returns false if the caller reads slower than they
   * arrive.
   */
  readonly writeTokens: (texts: readonly string[]) => boolean;
  readonly complete: (result: {
    /** Response of a plain service. */
    readonly response?: PlainServiceResponse;
    /** Handle of the KV cache that a prompt segment left. */
    readonly kvCacheHandle?: string;
  }) => void;
  readonly fail: (failure: Failure) => void;
}
