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
  /** Undefined where the record was deleted or never existed. */
  readonly value?: string;
}

/** Attempts to settle a write whose answer was lost. */
const SETTLE_ATTEMPTS = 5;

const MESSAGES: Record<PlatformFailure['type'], string> = {
  'not-found': 'There is no such record.',
  conflict: 'Somebody else has changed the record.',
  'rate-limited': 'The platform refuses calls by rate. Try again shortly.',
  unavailable: 'The platform is not available. Nothing was changed; try again.',
  lost: 'The platform did not answer. Whether the change took effect is unknown; read the record before you try again.',
};

function toFailure(failure: PlatformFailure): Failure {
  const isLost = failure.type === 'lost';
  return createFailure('platform-unavailable', MESSAGES[failure.type], {
    ran: isLost ? 'unknown' : 'no',
  });
}

function conflict(expected: number, found: number): Failure {
  return createFailure(
    'version-conflict',
    `The record has version ${found}, not ${expected}. Read it, merge your change and apply it with --version ${found}.`,
  );
}

/** Reads and writes records for operators, with conditional updates only. */
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

  const settle = async (
    key: string,
    value: string,
    expected: number,
    attemptsLeft: number,
  ): Promise<Result<number, Failure>> => {
    const written = await platform.put(key, value, expected);
    if (written.isOk()) return ok(written.value);
    const failure = written.error;
    const mayHaveLanded = attemptsLeft < SETTLE_ATTEMPTS;
    if (failure.type === 'conflict') {
      const now = mayHaveLanded ? await platform.get(key) : undefined;
      const isOwn = now?.isOk() && now.value.value === value;
      if (isOwn) return ok(now.value.version);
      return err(conflict(expected, failure.version ?? 0));
    }
    if (failure.type !== 'lost' || attemptsLeft === 0) {
      return err(toFailure(failure));
    }
    return settle(key, value, expected, attemptsLeft - 1);
  };

  return {
    read,

    /** Writes a record over the version that the operator has seen. */
    write: (
      record: FigfallRecord,
      text: string,
      expectedVersion: number,
    ): Promise<Result<number, Failure>> => {
      const key = recordKeys.record(record.kind, record.data.name);
      return settle(key, text, expectedVersion, SETTLE_ATTEMPTS);
    },

    /** Deletes a record by writing a tombstone over a version. */
    remove: (
      kind: RecordKind,
      name: string,
      expectedVersion: number,
    ): Promise<Result<number, Failure>> =>
      settle(
        recordKeys.record(kind, name),
        TOMBSTONE,
        expectedVersion,
        SETTLE_ATTEMPTS,
      ),
  };
}
