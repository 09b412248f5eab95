import type {RequestMetadata} from './request_metadata.js';

/** A call of a plain service. */
export interface ServiceRequest {
  readonly metadata: RequestMetadata;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  /** Idempotency key with its time of creation in milliseconds. */
  readonly idempotencyKey?: {readonly key: string; readonly createdAt: number};
}
