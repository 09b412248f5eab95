import type {CallerHandler} from './caller_handler.js';

/** Options of the HTTP server for callers. */
export interface CallerServerOptions {
  readonly host: string;
  /** Port to listen on; 0 chooses a free one. */
  readonly port: number;
  readonly handler: CallerHandler;
  /**
   * Maximum size of a request body.
   * @default CALLER_API.MAX_BODY_BYTES
   */
  readonly maxBodyBytes?: number;
  /**
   * Maximum time until a request body has arrived.
   * @default CALLER_API.BODY_TIMEOUT_MS
   */
  readonly bodyTimeoutMs?: number;
}
