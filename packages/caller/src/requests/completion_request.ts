import type {RequestMetadata} from './request_metadata.js';

/** A request for a completion or a chat completion. */
export interface CompletionRequest {
  readonly metadata: RequestMetadata;
  readonly kind: 'completion' | 'chat';
  readonly model: string;
  /** Prompt, or all messages joined; for estimates and for segments. */
  readonly prompt: string;
  /** Estimated from the number of characters. */
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Unchanged body. */
  readonly body: Buffer;
}
