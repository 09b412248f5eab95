import type {OpenCall} from '@figfall/node-link';

/** What stays the same over all attempts of one request. */
export interface CallSpec {
  readonly requestId: string;
  readonly kind: OpenCall['kind'];
  readonly agentKind: 'model-engine' | 'plain-service';
  readonly workspace: string;
  readonly target: string;
  readonly callClass: OpenCall['callClass'];
  readonly promptTokens: number;
  readonly totalTokens: number;
  readonly affinity: string;
  readonly fingerprint: string;
  readonly body: Uint8Array;
  readonly idempotent: boolean;
  readonly deadlineAt: number;
  readonly traceparent: string;
  readonly key?: OpenCall['key'];
  readonly http?: OpenCall['http'];
  /** Agent that alone may run the call, with its reservation. */
  readonly fixed?: {
    readonly agentId: string;
    readonly reservationId: string;
    readonly carry?: string;
  };
  /** Tokens that the caller already has, and their text. */
  readonly resumeFrom: number;
  readonly resumeText: string;
}
