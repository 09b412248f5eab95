import type {RequestMetadata} from './request_metadata.js';

/** A completion or chat completion that a caller asks for. */
export interface CompletionRequest {
  readonly metadata: RequestMetadata;
  readonly kind: 'completion' | 'chat';
  readonly model: string;
  /** Prompt, or all messages joined, to estimate and to segment. */
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Body as it came. */
  readonly body: Buffer;
}
