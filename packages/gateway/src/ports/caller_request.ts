import type {HeaderList} from './header_list.js';

/** One attempt of a caller, read to its end. */
export interface CallerRequest {
  /** Unique for each attempt of a caller. */
  readonly requestId: string;
  readonly method: string;
  /** Host without a port. */
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Headers that go on to the backend server. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly apiKey?: string;
  /** Milliseconds that the caller waits, from `arrivedAt`. */
  readonly timeoutMs: number;
  /** Steady time in milliseconds. */
  readonly arrivedAt: number;
  /** Size of the prompt, for model engines. */
  readonly prompt?: {
    readonly promptTokens: number;
    readonly outputTokens: number;
  };
  /** Last event of the stream that the caller already has. */
  readonly lastEventId?: number;
}
