import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {HashFunction} from '../shared/hash_function.js';
import {keyShard} from './key_shard.js';

/** Where the claim of an idempotency key stands. */
interface KeyLocation {
  /** Prefix of the platform's objects that may hold the claim. */
  readonly prefix: string;
  /** Shard of the service's keys, from 0. */
  readonly shard: number;
}

interface KeyLocationOptions {
  /** Milliseconds for which a key is remembered. */
  readonly retentionMs: number;
  /** Milliseconds of creation times that one segment covers. */
  readonly segmentMs: number;
  readonly shards: number;
}

/** A key and the time at which its caller made it. */
interface DatedKey {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  /** Time of creation in milliseconds. */
  readonly createdAt: number;
}

/** Milliseconds by which a caller's clock may be ahead. */
const CLOCK_SKEW_MS = 300_000;

/**
 * Finds the objects that may hold the claim of a key. The place follows from
 * the key and its time of creation alone, so every resend of a key looks at
 * the same objects. Keys older than the retention are refused.
 */
export function locateKey(
  dated: DatedKey,
  options: KeyLocationOptions,
  hash: HashFunction,
  now: number,
): Result<KeyLocation, Failure> {
  if (dated.createdAt > now + CLOCK_SKEW_MS) {
    return err(
      createFailure(
        'bad-request',
        'The creation time of the idempotency key lies in the future. Check the clock of the caller.',
      ),
    );
  }
  if (now - dated.createdAt > options.retentionMs) {
    return err(
      createFailure(
        'key-expired',
        'The idempotency key is older than the retention, so whether it has run can no longer be told. Look it up at the service before you send it under a new key.',
      ),
    );
  }
  const {workspace, key} = dated;
  const shard = keyShard(workspace, key, options.shards, hash);
  const segment = Math.floor(dated.createdAt / options.segmentMs);
  return ok({prefix: `ledger/${dated.service}/${segment}/${shard}`, shard});
}
