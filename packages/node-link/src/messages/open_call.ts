import type {CallClass} from '@figfall/decisions';

/** A call that an entry offers to an agent. */
export interface OpenCall {
  /** Identifies one attempt; a retry gets a new id. */
  readonly callId: string;
  readonly kind: 'completion' | 'chat' | 'segment' | 'service';
  readonly workspace: string;
  /** Name of the requested model or service. */
  readonly target: string;
  readonly callClass: CallClass;
  readonly promptTokens: number;
  readonly totalTokens: number;
  /** Milliseconds from sending the message to the deadline of the call. */
  readonly deadlineInMs: number;
  /** True after a crash: no other call may run on the server beside it. */
  readonly alone: boolean;
  /** Hash that identifies the request across attempts. */
  readonly fingerprint: string;
  /** Newest configuration revision that the entry knows. */
  readonly configRevision: number;
  /** W3C trace context of the entry's span. */
  readonly traceparent?: string;
  /** Complete body if it is small; otherwise it follows in `body` messages. */
  readonly body?: Uint8Array;
  readonly bodyBytes: number;
  /** Number of tokens that the caller already has, and their text. */
  readonly resumeIndex: number;
  readonly resumeText?: string;
  readonly reservationId?: string;
  /** Handle of the KV cache of the preceding prompt segments. */
  readonly carry?: string;
  readonly idempotent: boolean;
  /** Idempotency key and its creation time in epoch milliseconds. */
  readonly key?: {readonly key: string; readonly createdAt: number};
  /** Request line and content type of a call to a plain service. */
  readonly http?: {
    readonly method: string;
    readonly path: string;
    readonly contentType: string;
  };
}
