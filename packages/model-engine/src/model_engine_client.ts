import type {Failure} from '@figfall/decisions';
import type {Result} from 'neverthrow';
import type {EngineEvent} from './engine_event.js';
import type {EngineLoad} from './engine_load.js';
import type {EngineOrder} from './engine_order.js';
import type {GenerateRequest} from './generate_request.js';
import type {SegmentRequest} from './segment_request.js';

/** A model engine. Another wire shape is another implementation. */
export interface ModelEngineClient {
  readonly generate: (req: GenerateRequest) => AsyncGenerator<EngineEvent>;
  /** Returns the handle of the KV cache that the segment left. */
  readonly prefillSegment: (
    req: SegmentRequest,
  ) => Promise<Result<string, Failure>>;
  /** Frees the memory of a sequence or segment. */
  readonly cancel: (requestId: string) => Promise<Result<void, Failure>>;
  readonly fetchLoad: () => Promise<Result<EngineLoad, Failure>>;
  readonly sendOrder: (order: EngineOrder) => Promise<Result<void, Failure>>;
}
