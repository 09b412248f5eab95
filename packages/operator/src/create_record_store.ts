import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import type {PlatformClient, PlatformFailure} from '@figfall/platform';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {FigfallRecord} from './figfall_record.js';
import {isTombstone} from './is_tombstone.js';
import {recordKeys} from './record_keys.js';
import type {RecordKind} from './record_kind.js';
import {TOMBSTONE} from './tombstone.js';

interface StoredRecord {
  readonly version: number;
  /** JSON text; undefined if the record was deleted or never existed. */
  readonly value?: string;
}

/** Retries of a write whose response was lost. */
const WRITE_RETRIES = 5;

const FAILURE_MESSAGES: Record<PlatformFailure['type'], string> = {
  'not-found': 'There is no such record.',
  conflict: 'The record has been changed by someone else.',
  'rate-limited': 'The platform limits the call rate. Try again shortly.',
  unavailable: 'The platform is not available. Nothing was changed; try again.',
  lost: 'The platform did not respond. The change may have taken effect; read the record before you try again.',
};

function toFailure(failure: PlatformFailure): Failure {
  const isLost = failure.type === 'lost';
  return createFailure('platform-unavailable', FAILURE_MESSAGES[failure.type], {
    ran: isLost ? 'unknown' : 'no',
  });
}

function conflict(expected: number, found: number): Failure {
  return createFailure(
    'version-conflict',
    `The record has version ${found}, not ${expected}. Read it, merge your change and apply it with --version ${found}.`,
  );
}

/** Creates the record store for operators; it writes only conditionally. */
export function createRecordStore(platform: PlatformClient) {
  const read = async (
    kind: RecordKind,
    name: string,
  ): Promise<Result<StoredRecord, Failure>> => {
    const got = await platform.get(recordKeys.record(kind, name));
    if (got.isErr() && got.error.type === 'not-found') return ok({version: 0});
    if (got.isErr()) return err(toFailure(got.error));
    const {version, value} = got.value;
    return ok({version, value: isTombstone(value) ? undefined : value});
  };

  // A conflict after a lost response may come from our own earlier write, so
  // the stored value is compared with the written one.
  const writeWithRetry = async (
    key: string,
    value: string,
    expected: number,
    retriesLeft: number,
  ): Promise<Result<number, Failure>> => {
    const written = await platform.put(key, value, expected);
    if (written.isOk()) return ok(written.value);
    const failure = written.error;
    const mayBeWritten = retriesLeft < WRITE_RETRIES;
    if (failure.type === 'conflict') {
      const current = mayBeWritten ? await platform.get(key) : undefined;
      const isOwn = current?.isOk() && current.value.value === value;
      if (isOwn) return ok(current.value.version);
      return err(conflict(expected, failure.version ?? 0));
    }
    if (failure.type !== 'lost' || retriesLeft === 0) {
      return err(toFailure(failure));
    }
    return writeWithRetry(key, value, expected, retriesLeft - 1);
  };

  return {
    read,

    /**
     * Writes a record and returns its new version. Fails with
     * `version-conflict` unless the stored version is the expected one; 0
     * expects that there is no record.
     */
    write: (
      record: FigfallRecord,
      text: string,
      expectedVersion: number,
    ): Promise<Result<number, Failure>> => {
      const key = recordKeys.record(record.kind, record.data.name);
      return writeWithRetry(key, text, expectedVersion, WRITE_RETRIES);
    },

    /** Deletes a record by writing a tombstone, as conditionally as `write`. */
    remove: (
      kind: RecordKind,
      name: string,
      expectedVersion: number,
    ): Promise<Result<number, Failure>> =>
      writeWithRetry(
        recordKeys.record(kind, name),
        TOMBSTONE,
        expectedVersion,
        WRITE_RETRIES,
      ),
  };
}
