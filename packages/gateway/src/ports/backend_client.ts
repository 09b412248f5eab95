import type {BackendServer} from '@figfall/decisions';
import type {BackendEvent} from './backend_event.js';
import type {BackendRequest} from './backend_request.js';
import type {ReserveResult} from './reserve_result.js';
import type {ServerCheck} from './server_check.js';

/** An attempt in progress at a backend server. */
interface BackendExchange {
  /** Ends the attempt; no event follows. */
  readonly cancel: () => void;
  /** Stops reading the response until `resume`. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Sends requests and reservations to backend servers. */
export interface BackendClient {
  /** Sends a request; `onEvent` receives what becomes of it. */
  readonly send: (
    req: BackendRequest,
    onEvent: (event: BackendEvent) => void,
  ) => BackendExchange;
  /** Reserves KV cache for `holdMs` milliseconds, or renews a reservation. */
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
  /** Asks a server about its state. */
  readonly check: (server: BackendServer) => Promise<ServerCheck>;
  /**
   * Closes idle connections to servers that are no longer in the list, or whose
   * process is another one.
   */
  readonly pruneConnections: (servers: readonly BackendServer[]) => void;
}
