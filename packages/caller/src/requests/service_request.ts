import type {RequestMetadata} from './request_metadata.js';

/** A request for a plain service. */
export interface ServiceRequest {
  readonly metadata: RequestMetadata;
  /** Name of the service record. */
  readonly service: string;
  readonly method: string;
  /** Path at the service, with the query. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  /** Idempotency key and its creation time in Unix milliseconds. */
  readonly idempotencyKey?: {readonly key: string; readonly createdAt: number};
}
