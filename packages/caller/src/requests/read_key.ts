import type {IncomingHttpHeaders} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {CALLER} from '../constants.js';
import {CALLER_HEADERS} from './caller_headers.js';
import type {ServiceRequest} from './service_request.js';

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

function timeOfUuid(key: string): number | undefined {
  const parts = UUID_V7.exec(key);
  return parts ? parseInt(`${parts[1]}${parts[2]}`, 16) : undefined;
}

function timeOfHeader(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const value = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
  return Number.isNaN(value) ? undefined : value;
}

/**
 * Reads the idempotency key. A key must tell when it was made, as a UUID of
 * version 7 or in a header, because a key that is older than the retention
 * can no longer be told from one that never ran.
 */
export function readKey(
  headers: IncomingHttpHeaders,
): Result<ServiceRequest['idempotencyKey'], Failure> {
  const key = headers[CALLER_HEADERS.key];
  if (key === undefined) return ok(undefined);
  if (typeof key !== 'string' || key.length > CALLER.KEY_CHARS_MAX || !key) {
    return err(
      createFailure(
        'bad-request',
        `${CALLER_HEADERS.key} must have 1 to ${CALLER.KEY_CHARS_MAX} characters.`,
      ),
    );
  }
  const created = headers[CALLER_HEADERS.keyCreated];
  const createdAt = timeOfHeader(created?.toString()) ?? timeOfUuid(key);
  if (createdAt !== undefined) return ok({key, createdAt});
  return err(
    createFailure(
      'bad-request',
      `The time of the idempotency key is missing. Use a UUID of version 7, or add ${CALLER_HEADERS.keyCreated} with the time at which the key was first made.`,
    ),
  );
}
