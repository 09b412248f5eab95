import type {ServerResponse} from 'node:http';
import {ERROR_DEFINITIONS} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {errorBody} from './error_body.js';

const MS_PER_SECOND = 1_000;

/**
 * Sends a failure as the whole response; no header may have been sent before.
 * If the request body was not read to its end, the connection is closed.
 */
export function sendFailure(res: ServerResponse, failure: Failure): void {
  const {status} = ERROR_DEFINITIONS[failure.kind];
  const {retryAfterMs} = failure;
  const retryAfterSeconds = Math.ceil((retryAfterMs ?? 0) / MS_PER_SECOND);
  res.writeHead(status, {
    'content-type': 'application/json',
    ...(retryAfterMs ? {'retry-after': String(retryAfterSeconds)} : {}),
    ...(res.req.complete ? {} : {connection: 'close'}),
  });
  res.end(JSON.stringify(errorBody(failure)));
}
