import type {Failure} from '@figfall/decisions';
import type {Result} from 'neverthrow';
import type {CompletionRequest} from '../requests/completion_request.js';
import type {RequestMetadata} from '../requests/request_metadata.js';
import type {ServiceRequest} from '../requests/service_request.js';
import type {CompletionSink} from '../responses/completion_sink.js';

/** The response of a plain service to a caller. */
interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Handles the requests that the callers' server has parsed. */
export interface CallerHandler {
  /** Returns a failure if the caller may not send requests at present. */
  readonly checkAccess: (metadata: RequestMetadata) => Failure | undefined;
  /** Runs a completion; its tokens and its end go to the sink. */
  readonly complete: (req: CompletionRequest, sink: CompletionSink) => void;
  /** Calls a plain service; `onDisconnect` registers a listener. */
  readonly callService: (
    req: ServiceRequest,
    onDisconnect: (listener: () => void) => void,
  ) => Promise<Result<ServiceResponse, Failure>>;
  /** Names of the models that a workspace may call. */
  readonly models: (workspace: string) => readonly string[];
  readonly isReady: () => boolean;
  /** Metrics in the Prometheus text format. */
  readonly metrics: () => Promise<string>;
}
