import type {OpenCall} from '@figfall/node-link';

/** The parts of a request that are the same for all of its attempts. */
export interface CallSpec {
  readonly requestId: string;
  readonly kind: OpenCall['kind'];
  readonly agentKind: 'model-engine' | 'plain-service';
  readonly workspace: string;
  /** Name of the model with its version and adapter, or of the service. */
  readonly target: string;
  readonly callClass: OpenCall['callClass'];
  readonly promptTokens: number;
  /** Prompt tokens and the largest number of output tokens. */
  readonly totalTokens: number;
  /** Requests with equal keys prefer the same agents. */
  readonly affinityKey: string;
  /** Hash of the workspace and the request, which identifies crash suspects. */
  readonly fingerprint: string;
  readonly body: Uint8Array;
  /** True if the request may safely run more than once. */
  readonly idempotent: boolean;
  /** Time in milliseconds by which the response must be complete. */
  readonly deadlineAt: number;
  /** W3C trace context of the entry's span. */
  readonly traceparent: string;
  readonly idempotencyKey?: OpenCall['key'];
  readonly http?: OpenCall['http'];
  /** The only agent that may run the request, and its reservation there. */
  readonly pinned?: {
    readonly agentId: string;
    readonly reservationId: string;
    /** Handle of the KV cache of the preceding parts. */
    readonly kvCacheHandle?: string;
  };
  /** Number of output tokens that the caller already has. */
  readonly resumeIndex: number;
  /** Text of these tokens. */
  readonly resumeText: string;
}
