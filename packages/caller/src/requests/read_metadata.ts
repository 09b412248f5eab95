import {randomUUID} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {CALLER_API} from '../constants.js';
import {CALLER_HEADERS} from './caller_headers.js';
import type {RequestMetadata} from './request_metadata.js';

const BEARER_TOKEN = /^Bearer (\S+)$/i;

function readTimeout(text: string | undefined): Result<number, Failure> {
  if (text === undefined) return ok(CALLER_API.DEFAULT_TIMEOUT_MS);
  const value = Number(text);
  if (
    Number.isInteger(value) &&
    value > 0 &&
    value <= CALLER_API.MAX_TIMEOUT_MS
  ) {
    return ok(value);
  }
  return err(
    createFailure(
      'bad-request',
      `${CALLER_HEADERS.timeout} is "${text}"; it must be a whole number of milliseconds from 1 to ${CALLER_API.MAX_TIMEOUT_MS}.`,
    ),
  );
}

function firstValue(headers: IncomingHttpHeaders, name: string) {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Reads the metadata of a request. Fails with `unauthorized` if there is no
 * bearer token, and with `bad-request` if another header is not valid.
 */
export function readMetadata(
  headers: IncomingHttpHeaders,
): Result<RequestMetadata, Failure> {
  const token = BEARER_TOKEN.exec(headers.authorization ?? '')?.[1];
  if (!token) {
    return err(
      createFailure(
        'unauthorized',
        'Send "Authorization: Bearer TOKEN" with the token of your workspace.',
      ),
    );
  }
  const workspace = firstValue(headers, CALLER_HEADERS.workspace);
  if (!workspace) {
    return err(
      createFailure(
        'bad-request',
        `Send the name of your workspace in ${CALLER_HEADERS.workspace}.`,
      ),
    );
  }
  return readTimeout(firstValue(headers, CALLER_HEADERS.timeout)).map(
    timeoutMs => ({
      requestId: randomUUID(),
      workspace,
      token,
      timeoutMs,
      traceparent: firstValue(headers, 'traceparent'),
    }),
  );
}
