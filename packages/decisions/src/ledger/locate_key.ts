import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {HashFunction} from '../shared/hash_function.js';
import {keyShard} from './key_shard.js';

/** Location of an idempotency key's claim in the ledger. */
interface KeyLocation {
  /** Name prefix of the platform objects that may hold the claim. */
  readonly prefix: string;
  /** Index of the shard, from 0. */
  readonly shard: number;
}

interface KeyLocationOptions {
  /** Milliseconds after its creation for which a key is valid. */
  readonly retentionMs: number;
  /** Range of creation times that one segment covers, in milliseconds. */
  readonly segmentMs: number;
  /** Number of shards of a segment. */
  readonly shards: number;
}

/** An idempotency key with its owner and creation time. */
interface DatedKey {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  /** Time in milliseconds at which the caller created the key. */
  readonly createdAt: number;
}

/** Tolerance for callers' clocks that run ahead. */
const CLOCK_SKEW_MS = 300_000;

/**
 * Returns the location of a key's claim. It depends only on the key, its owner
 * and its creation time, so every resend of a key reads the same objects. Fails
 * with `key-expired` past the retention time, and with `bad-request` if the
 * creation time is in the future.
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
        "The creation time of the idempotency key is in the future. Check the caller's clock.",
      ),
    );
  }
  if (now - dated.createdAt > options.retentionMs) {
    return err(
      createFailure(
        'key-expired',
        'The idempotency key is older than the retention time, so it is unknown whether the request ran. Check at the service before you send it with a new key.',
      ),
    );
  }
  const {workspace, key} = dated;
  const shard = keyShard(workspace, key, options.shards, hash);
  const segment = Math.floor(dated.createdAt / options.segmentMs);
  return ok({prefix: `ledger/${dated.service}/${segment}/${shard}`, shard});
}
