import type {Failure} from '@figfall/decisions';
import type {Result} from 'neverthrow';
import type {CompletionSink} from '../answers/completion_sink.js';
import type {RequestMetadata} from '../requests/request_metadata.js';
import type {CompletionRequest} from '../requests/completion_request.js';
import type {ServiceRequest} from '../requests/service_request.js';

/** The answer of a plain service to a caller. */
interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** What an entry does for callers. */
export interface CallerHandler {
  /** Returns why a caller may not send requests, if so. */
  readonly checkAccess: (metadata: RequestMetadata) => Failure | undefined;
  readonly complete: (req: CompletionRequest, sink: CompletionSink) => void;
  readonly callService: (
    req: ServiceRequest,
    onGone: (listener: () => void) => void,
  ) => Promise<Result<ServiceAnswer, Failure>>;
  /** Names of the models that a workspace may call. */
  readonly models: (workspace: string) => readonly string[];
  readonly isReady: () => boolean;
  readonly metrics: () => Promise<string>;
}
