import type {Failure} from '@figfall/decisions';
import type {Result} from 'neverthrow';
import type {EngineEvent} from './engine_event.js';
import type {EngineLoad} from './engine_load.js';
import type {EngineOrder} from './engine_order.js';
import type {GenerateRequest} from './generate_request.js';
import type {SegmentRequest} from './segment_request.js';

/** Client of a model engine, independent of the wire format. */
export interface ModelEngineClient {
  /** Yields the events of a generation; failures are events, too. */
  readonly generate: (req: GenerateRequest) => AsyncGenerator<EngineEvent>;
  /** Prefills a segment and returns the handle of its KV cache. */
  readonly prefillSegment: (
    req: SegmentRequest,
  ) => Promise<Result<string, Failure>>;
  /** Cancels a sequence or segment and frees its memory. */
  readonly cancel: (requestId: string) => Promise<Result<void, Failure>>;
  readonly fetchLoad: () => Promise<Result<EngineLoad, Failure>>;
  readonly sendOrder: (order: EngineOrder) => Promise<Result<void, Failure>>;
}
