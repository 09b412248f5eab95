import type {BackendServer} from '@figfall/decisions';
import type {HeaderList} from './header_list.js';

/** Another server that reads a part of the prompt. */
interface Helper {
  readonly server: BackendServer;
  /** Reservation of KV cache there, where there is one. */
  readonly reservationId?: string;
}

/** One attempt at one backend server. */
export interface BackendRequest {
  readonly requestId: string;
  readonly server: BackendServer;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly workspace?: string;
  /** Milliseconds that are left for the answer. */
  readonly timeoutMs: number;
  /** Last event that the caller has, where a stream goes on. */
  readonly lastEventId?: number;
  readonly helpers: readonly Helper[];
  /** Rank at a model engine, from 0, which goes first, to 9. */
  readonly priority?: number;
}
