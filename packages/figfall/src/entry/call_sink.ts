import type {Failure} from '@figfall/decisions';
import type {PlainServiceResponse} from '@figfall/node-link';

/** Takes what comes of one request. */
export interface CallSink {
  /** Returns false where the caller reads slower than tokens come. */
  readonly tokens: (texts: readonly string[]) => boolean;
  readonly complete: (result: {
    readonly response?: PlainServiceResponse;
    readonly carry?: string;
  }) => void;
  readonly fail: (failure: Failure) => void;
}
