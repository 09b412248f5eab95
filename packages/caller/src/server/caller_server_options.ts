import type {CallerHandler} from './caller_handler.js';

/** Options of the callers' HTTP server. */
export interface CallerServerOptions {
  readonly host: string;
  /** 0 chooses a free port. */
  readonly port: number;
  readonly handler: CallerHandler;
  /** @default CALLER.BODY_BYTES_MAX */
  readonly bodyBytesMax?: number;
  /** @default CALLER.BODY_TIMEOUT_MS */
  readonly bodyTimeoutMs?: number;
}
