import type {LookupFunction} from 'node:net';

/** One HTTP request. */
export interface HttpRequest {
  readonly method: string;
  /** Base URL of the server, such as `http://127.0.0.1:8000`. */
  readonly baseUrl: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Milliseconds without an answer after which the exchange is lost. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /**
   * Resolves host names.
   * @default the system's resolver
   */
  readonly lookup?: LookupFunction;
}
