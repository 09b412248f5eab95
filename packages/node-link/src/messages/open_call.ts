import type {CallClass} from '@figfall/decisions';

/** A request as an entry offers it to an agent. */
export interface OpenCall {
  /** Unique for each attempt. */
  readonly callId: string;
  readonly kind: 'completion' | 'chat' | 'segment' | 'service';
  readonly workspace: string;
  /** Model, or service, that the call is for. */
  readonly target: string;
  readonly callClass: CallClass;
  readonly promptTokens: number;
  readonly totalTokens: number;
  /** Milliseconds that are left until the deadline. */
  readonly deadlineInMs: number;
  readonly alone: boolean;
  readonly fingerprint: string;
  /** Highest configuration version that the entry knows. */
  readonly configRevision: number;
  /** W3C trace context of the entry's span. */
  readonly traceparent?: string;
  /** Whole body where it is small. */
  readonly body?: Uint8Array;
  readonly bodyBytes: number;
  /** Tokens that the caller already has, and their text. */
  readonly resumeIndex: number;
  readonly resumeText?: string;
  readonly reservationId?: string;
  /** Handle of the KV cache of the segments before. */
  readonly carry?: string;
  readonly idempotent: boolean;
  /** Idempotency key and its time of creation in milliseconds. */
  readonly key?: {readonly key: string; readonly createdAt: number};
  /** Plain-service request line and content type. */
  readonly http?: {
    readonly method: string;
    readonly path: string;
    readonly contentType: string;
  };
}
