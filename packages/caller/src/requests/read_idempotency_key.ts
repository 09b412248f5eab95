import type {IncomingHttpHeaders} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {CALLER_API} from '../constants.js';
import {CALLER_HEADERS} from './caller_headers.js';
import type {ServiceRequest} from './service_request.js';

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

function parseUuidTime(key: string): number | undefined {
  const parts = UUID_V7.exec(key);
  return parts ? parseInt(`${parts[1]}${parts[2]}`, 16) : undefined;
}

function parseHeaderTime(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const value = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
  return Number.isNaN(value) ? undefined : value;
}

/**
 * Reads the idempotency key and its time of creation, from the key itself if
 * it is a UUID of version 7 or from a header. The time is required, because a
 * key that is older than the retention period can't be distinguished from a key
 * that never ran.
 */
export function readIdempotencyKey(
  headers: IncomingHttpHeaders,
): Result<ServiceRequest['idempotencyKey'], Failure> {
  const key = headers[CALLER_HEADERS.idempotencyKey];
  if (key === undefined) return ok(undefined);
  if (
    typeof key !== 'string' ||
    key.length > CALLER_API.MAX_KEY_CHARS ||
    !key
  ) {
    return err(
      createFailure(
        'bad-request',
        `${CALLER_HEADERS.idempotencyKey} must have 1 to ${CALLER_API.MAX_KEY_CHARS} characters.`,
      ),
    );
  }
  const createdHeader = headers[CALLER_HEADERS.idempotencyKeyCreated];
  const createdAt =
    parseHeaderTime(createdHeader?.toString()) ?? parseUuidTime(key);
  if (createdAt !== undefined) return ok({key, createdAt});
  return err(
    createFailure(
      'bad-request',
      `The creation time of the idempotency key is missing. Use a UUID of version 7, or send the time in ${CALLER_HEADERS.idempotencyKeyCreated}.`,
    ),
  );
}
