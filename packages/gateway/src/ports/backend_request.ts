import type {BackendServer} from '@figfall/decisions';
import type {HeaderList} from './header_list.js';
import type {ResponseMemory} from './response_memory.js';

/** Another server that prefills a part of the prompt. */
interface Helper {
  readonly server: BackendServer;
  /** Reservation of KV cache on this server, if there is one. */
  readonly reservationId?: string;
}

/** One attempt at one backend server. */
export interface BackendRequest {
  /** Id that the caller gave the request; the same for all attempts. */
  readonly requestId: string;
  readonly server: BackendServer;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly workspace?: string;
  /** False if the request must not run twice. */
  readonly idempotent: boolean;
  /** Milliseconds left until the response must be complete; at least 1. */
  readonly timeoutMs: number;
  /** Id of the last event that the caller has, if a stream is resumed. */
  readonly lastEventId?: number;
  readonly helpers: readonly Helper[];
  /** Scheduling priority at a model engine, from 0 (first) to 9 (last). */
  readonly priority?: number;
  /** Memory for a response that is collected until it is whole. */
  readonly memory: ResponseMemory;
}
