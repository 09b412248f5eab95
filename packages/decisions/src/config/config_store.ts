import type {HashFunction} from '../shared/hash_function.js';
import type {ConfigDigest} from './config_digest.js';
import type {ConfigEntry} from './config_entry.js';
import type {ConfigState} from './config_state.js';

interface MergeOptions {
  readonly hash: HashFunction;
  /** True where a record can be put in force. */
  readonly isValid: (entry: ConfigEntry) => boolean;
}

interface MergeStep {
  readonly state: ConfigState;
  /** Entries that were newer than what the node knew. */
  readonly changed: readonly ConfigEntry[];
}

function recordHash(
  state: Pick<ConfigState, 'entries' | 'validEntries'>,
  key: string,
  hash: HashFunction,
): number {
  const known = state.entries.get(key);
  if (!known) return 0;
  const validVersion = state.validEntries.get(key)?.version ?? 0;
  return hash(`${key}@${known.version}/${validVersion}`);
}

function checksumOf(
  before: ConfigState,
  after: Pick<ConfigState, 'entries' | 'validEntries'>,
  keys: readonly string[],
  hash: HashFunction,
): number {
  return keys.reduce((sum, key) => {
    const removed = recordHash(before, key, hash);
    return (sum ^ removed ^ recordHash(after, key, hash)) >>> 0;
  }, before.checksum);
}

function newerThan(
  known: ReadonlyMap<string, ConfigEntry>,
  entries: readonly ConfigEntry[],
): ConfigEntry[] {
  return newest(entries).filter(
    ({key, version}) => version > (known.get(key)?.version ?? 0),
  );
}

function newest(entries: readonly ConfigEntry[]): ConfigEntry[] {
  const byKey = entries.reduce((map, entry) => {
    const other = map.get(entry.key);
    if (!other || other.version < entry.version) map.set(entry.key, entry);
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
 * The records that a node knows. A merge keeps the higher version of each
 * record whatever the order of arrival, so no record ever goes back. An
 * invalid record is kept and passed on but leaves the last valid one in
 * force.
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

  merge(
    state: ConfigState,
    entries: readonly ConfigEntry[],
    options: MergeOptions,
  ): MergeStep {
    const fresh = newerThan(state.entries, entries);
    const valid = newerThan(
      state.validEntries,
      entries.filter(options.isValid),
    );
    const changed = [...new Set([...valid, ...fresh])];
    if (changed.length === 0) return {state, changed};
    const next = {
      entries: withEntries(state.entries, fresh),
      validEntries: withEntries(state.validEntries, valid),
    };
    const keys = [...new Set(changed.map(({key}) => key))];
    const versions = fresh.map(({version}) => version);
    return {
      changed,
      state: {
        ...next,
        revision: Math.max(state.revision, ...versions),
        checksum: checksumOf(state, next, keys, options.hash),
      },
    };
  },

  digest(state: ConfigState): ConfigDigest {
    const {revision, checksum} = state;
    return {revision, checksum, count: state.entries.size};
  },

  /** True where two nodes know the same versions of the same records. */
  digestsMatch(a: ConfigDigest, b: ConfigDigest): boolean {
    return (
      a.revision === b.revision &&
      a.checksum === b.checksum &&
      a.count === b.count
    );
  },

  /** Returns the entries over a version, and what is in force for each. */
  entriesSince(state: ConfigState, version: number): ConfigEntry[] {
    const fresh = [...state.entries.values()].filter(
      entry => entry.version > version,
    );
    const older = fresh
      .map(entry => state.validEntries.get(entry.key))
      .filter(entry => entry !== undefined)
      .filter(entry => !fresh.includes(entry));
    return [...older, ...fresh];
  },
};
