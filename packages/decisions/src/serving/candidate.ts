import type {BackendServer} from './backend_server.js';
import type {ServerLoad} from './server_load.js';

/** A backend server that a request may be sent to. */
export interface Candidate {
  readonly server: BackendServer;
  readonly load: ServerLoad;
  /** Recent share of failed requests, from 0 to 1. */
  readonly failureRate: number;
  /** Factor on the durations that its engine declares. @default 1 */
  readonly pace?: number;
  /** True while the server warms up and takes few requests. */
  readonly isCold: boolean;
  /** Set if the server has named a request rate that it takes. */
  readonly rateLimit?: {
    /** Requests a second from all gateways together. */
    readonly perSecond: number;
    /** Requests that this gateway may send there now. */
    readonly permits: number;
  };
}
