import type {ServerResponse} from 'node:http';
import {ERROR_DEFINITIONS} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {failureBody} from './failure_body.js';

const MS_PER_SECOND = 1_000;

/** Answers with a failure, before any part of an answer was sent. */
export function sendFailure(res: ServerResponse, failure: Failure): void {
  const {status} = ERROR_DEFINITIONS[failure.kind];
  const {retryAfterMs} = failure;
  const seconds = Math.ceil((retryAfterMs ?? 0) / MS_PER_SECOND);
  res.writeHead(status, {
    'content-type': 'application/json',
    ...(retryAfterMs ? {'retry-after': String(seconds)} : {}),
    ...(res.req.complete ? {} : {connection: 'close'}),
  });
  res.end(JSON.stringify(failureBody(failure)));
}
