import type {BackendServer} from '@figfall/decisions';
import type {BackendEvent} from './backend_event.js';
import type {BackendRequest} from './backend_request.js';
import type {ReserveResult} from './reserve_result.js';

/** An attempt that is under way. */
interface BackendExchange {
  /** Ends the attempt; no event follows. */
  readonly cancel: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Sends requests and reservations to backend servers. */
export interface BackendClient {
  readonly send: (
    req: BackendRequest,
    onEvent: (event: BackendEvent) => void,
  ) => BackendExchange;
  /** Reserves, or renews, KV cache. */
  readonly reserve: (
    server: BackendServer,
    reservation: {
      readonly reservationId: string;
      readonly tokens: number;
      readonly holdMs: number;
    },
  ) => Promise<ReserveResult>;
  /** Frees a reservation. */
  readonly release: (
    server: BackendServer,
    reservationId: string,
  ) => Promise<void>;
  /** Closes idle connections to servers that are no longer listed. */
  readonly pruneConnections: (servers: readonly BackendServer[]) => void;
}
