import type {CallerIdentity} from './caller_identity.js';

/** A call of a plain service. */
export interface ServiceRequest {
  readonly identity: CallerIdentity;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  /** Idempotency key with its time of creation in milliseconds. */
  readonly key?: {readonly key: string; readonly createdAt: number};
}
