import type {HeaderList} from './header_list.js';
import type {ResponseMemory} from './response_memory.js';

/** A caller's request with its complete body. */
export interface CallerRequest {
  /** Unique for each attempt of a caller. */
  readonly requestId: string;
  readonly method: string;
  /** Host without a port. */
  readonly host: string;
  /** Path and query as sent by the caller. */
  readonly target: string;
  /** Headers to forward to the backend server. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly apiKey?: string;
  /** Milliseconds that the caller waits, counted from `arrivedAt`. */
  readonly timeoutMs: number;
  /** Monotonic time in milliseconds. */
  readonly arrivedAt: number;
  /** Size of the prompt, for model engines. */
  readonly prompt?: {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Ids of the parts of the prompt that other prompts may share. */
    readonly sharedParts: readonly string[];
  };
  /** Id of the last event that the caller has, if it resumes a stream. */
  readonly lastEventId?: number;
  readonly memory: ResponseMemory;
}
