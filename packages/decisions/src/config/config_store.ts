import type {HashFunction} from '../shared/hash_function.js';
import type {ConfigDigest} from './config_digest.js';
import type {ConfigEntry} from './config_entry.js';
import type {ConfigState} from './config_state.js';

interface MergeOptions {
  readonly hash: HashFunction;
  /** Returns true if a node can apply the entry. */
  readonly isValid: (entry: ConfigEntry) => boolean;
}

interface MergeStep {
  readonly state: ConfigState;
  /** Entries newer than the known or the valid entry of their record. */
  readonly changed: readonly ConfigEntry[];
}

function recordHash(
  state: Pick<ConfigState, 'entries' | 'validEntries'>,
  key: string,
  hash: HashFunction,
): number {
  const entry = state.entries.get(key);
  if (!entry) return 0;
  const validVersion = state.validEntries.get(key)?.version ?? 0;
  return hash(`${key}@${entry.version}/${validVersion}`);
}

/** Returns the checksum after a change of the entries of `keys`. */
function checksumOf(
  before: ConfigState,
  after: Pick<ConfigState, 'entries' | 'validEntries'>,
  keys: readonly string[],
  hash: HashFunction,
): number {
  return keys.reduce((sum, key) => {
    const oldHash = recordHash(before, key, hash);
    return (sum ^ oldHash ^ recordHash(after, key, hash)) >>> 0;
  }, before.checksum);
}

/** Returns the newest entry of each key, where newer than the known one. */
function selectNewer(
  known: ReadonlyMap<string, ConfigEntry>,
  entries: readonly ConfigEntry[],
): ConfigEntry[] {
  return newestPerKey(entries).filter(
    ({key, version}) => version > (known.get(key)?.version ?? 0),
  );
}

/** Returns the entry with the highest version for each key. */
function newestPerKey(entries: readonly ConfigEntry[]): ConfigEntry[] {
  const byKey = entries.reduce((map, entry) => {
    const known = map.get(entry.key);
    if (!known || known.version < entry.version) map.set(entry.key, entry);
    return map;
  }, new Map<string, ConfigEntry>());
  return [...byKey.values()];
}

function withEntries(
  known: ReadonlyMap<string, ConfigEntry>,
  entries: readonly ConfigEntry[],
): ReadonlyMap<string, ConfigEntry> {
  const pairs = entries.map(entry => [entry.key, entry] as const);
  return new Map([...known, ...pairs]);
}

/**
 * Pure functions on a node's replica of the configuration. A merge keeps the
 * higher version of each record in any order of arrival, so a record never
 * reverts to an older version. An invalid entry is stored and sent to peers,
 * but the node keeps applying the last valid one.
 */
export const configStore = {
  empty(): ConfigState {
    return {
      entries: new Map(),
      validEntries: new Map(),
      revision: 0,
      checksum: 0,
    };
  },

  /** Merges entries from the platform or a peer, in any order. */
  merge(
    state: ConfigState,
    entries: readonly ConfigEntry[],
    options: MergeOptions,
  ): MergeStep {
    const newer = selectNewer(state.entries, entries);
    const valid = selectNewer(
      state.validEntries,
      entries.filter(options.isValid),
    );
    const changed = [...new Set([...valid, ...newer])];
    if (changed.length === 0) return {state, changed};
    const next = {
      entries: withEntries(state.entries, newer),
      validEntries: withEntries(state.validEntries, valid),
    };
    const keys = [...new Set(changed.map(({key}) => key))];
    const versions = newer.map(({version}) => version);
    return {
      changed,
      state: {
        ...next,
        revision: Math.max(state.revision, ...versions),
        checksum: checksumOf(state, next, keys, options.hash),
      },
    };
  },

  /** Returns the digest to compare with that of a peer. */
  digest(state: ConfigState): ConfigDigest {
    const {revision, checksum} = state;
    return {revision, checksum, count: state.entries.size};
  },

  /** Returns true if two digests describe the same versions of all records. */
  digestsMatch(a: ConfigDigest, b: ConfigDigest): boolean {
    return (
      a.revision === b.revision &&
      a.checksum === b.checksum &&
      a.count === b.count
    );
  },

  /**
   * Returns the entries above a version. Where the newest entry of a record is
   * invalid, its last valid entry comes first, whatever its version.
   */
  entriesSince(state: ConfigState, version: number): ConfigEntry[] {
    const newer = [...state.entries.values()].filter(
      entry => entry.version > version,
    );
    const older = newer
      .map(entry => state.validEntries.get(entry.key))
      .filter(entry => entry !== undefined)
      .filter(entry => !newer.includes(entry));
    return [...older, ...newer];
  },
};
