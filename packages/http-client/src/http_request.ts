import type {LookupFunction} from 'node:net';

/** Options of an HTTP request. */
export interface HttpRequest {
  readonly method: string;
  /** Base URL of the server, such as `http://127.0.0.1:8000`. */
  readonly baseUrl: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Milliseconds without data after which the exchange fails as `lost`. */
  readonly timeoutMs: number;
  /**
   * Bytes of a response body above which the exchange fails as `lost`.
   * @default 33_554_432
   */
  readonly maxBodyBytes?: number;
  /**
   * False if the request must not run twice; it then takes no connection that
   * has lain idle for long.
   * @default true
   */
  readonly idempotent?: boolean;
  /** Aborts the exchange. */
  readonly signal?: AbortSignal;
  /**
   * Resolves host names.
   * @default the resolver of the system
   */
  readonly lookup?: LookupFunction;
}
