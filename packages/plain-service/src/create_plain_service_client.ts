import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {exchange} from '@figfall/http-client';
import type {HttpResponse} from '@figfall/http-client';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {PlainServiceRequest} from './plain_service_request.js';

/** Client of one backend server that is a plain service. */
interface PlainServiceClient {
  /** Returns any complete response, whatever its status. */
  readonly send: (
    req: PlainServiceRequest,
  ) => Promise<Result<HttpResponse, Failure>>;
  /** Returns true if the health check responds with status 200. */
  readonly isHealthy: () => Promise<boolean>;
}

const HEALTH_CHECK_TIMEOUT_MS = 500;

/** Methods that change nothing, so a request may be sent again. */
const SAFE_METHODS = ['GET', 'HEAD', 'OPTIONS'];

/** Creates a client of the plain service at a base URL. */
export function createPlainServiceClient(baseUrl: string): PlainServiceClient {
  return {
    send: async req => {
      const response = await exchange({
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
        idempotent: SAFE_METHODS.includes(req.method),
      });
      if (response.isOk()) return ok(response.value);
      const {type, message} = response.error;
      const ran = type === 'not-sent' ? 'no' : 'unknown';
      return err(createFailure('backend-lost', message, {ran}));
    },

    isHealthy: async () => {
      const response = await exchange({
        method: 'GET',
        baseUrl,
        path: '/healthz',
        timeoutMs: HEALTH_CHECK_TIMEOUT_MS,
      });
      return response.isOk() && response.value.status === 200;
    },
  };
}
