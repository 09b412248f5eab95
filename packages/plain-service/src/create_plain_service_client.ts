import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {exchange} from '@figfall/http-client';
import type {HttpResponse} from '@figfall/http-client';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {PlainServiceRequest} from './plain_service_request.js';

/** A client of one instance of a plain service. */
interface PlainServiceClient {
  readonly send: (
    req: PlainServiceRequest,
  ) => Promise<Result<HttpResponse, Failure>>;
  /** True where the instance answers its health check. */
  readonly isHealthy: () => Promise<boolean>;
}

const HEALTH_TIMEOUT_MS = 500;

/** Creates a client of the plain service at a base URL. */
export function createPlainServiceClient(baseUrl: string): PlainServiceClient {
  return {
    send: async req => {
      const answer = await exchange({
        method: req.method,
        baseUrl,
        path: req.path,
        headers: {
          'content-type': req.contentType,
          ...(req.idempotencyKey
            ? {'idempotency-key': req.idempotencyKey}
            : {}),
          ...(req.traceparent ? {traceparent: req.traceparent} : {}),
        },
        body: req.body,
        timeoutMs: req.timeoutMs,
      });
      if (answer.isOk()) return ok(answer.value);
      const {type, message} = answer.error;
      const ran = type === 'not-sent' ? 'no' : 'unknown';
      return err(createFailure('backend-lost', message, {ran}));
    },

    isHealthy: async () => {
      const answer = await exchange({
        method: 'GET',
        baseUrl,
        path: '/healthz',
        timeoutMs: HEALTH_TIMEOUT_MS,
      });
      return answer.isOk() && answer.value.status === 200;
    },
  };
}
