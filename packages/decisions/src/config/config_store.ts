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

function entryHash(entry: ConfigEntry, hash: HashFunction): number {
  return hash(`${entry.key}@${entry.version}`);
}

function checksumOf(
  state: ConfigState,
  changed: readonly ConfigEntry[],
  hash: HashFunction,
): number {
  return changed.reduce((sum, entry) => {
    const old = state.entries.get(entry.key);
    const removed = old ? entryHash(old, hash) : 0;
    return (sum ^ removed ^ entryHash(entry, hash)) >>> 0;
  }, state.checksum);
}

function newest(entries: readonly ConfigEntry[]): ConfigEntry[] {
  const byKey = entries.reduce((map, entry) => {
    const other = map.get(entry.key);
    if (!other || other.version < entry.version) map.set(entry.key, entry);
    return map;
  }, new Map<string, ConfigEntry>());
  return [...byKey.values()];
}

/**
 * The records that a node knows. A merge keeps the higher version of each
 * record whatever the order of arrival, so no record ever goes back. An
 * invalid record is kept and passed on but leaves the last valid one in
 * force.
 */
export const configStore = {
  empty(): ConfigState {
    return {entries: new Map(), inForce: new Map(), revision: 0, checksum: 0};
  },

  merge(
    state: ConfigState,
    entries: readonly ConfigEntry[],
    options: MergeOptions,
  ): MergeStep {
    const changed = newest(entries).filter(
      entry => entry.version > (state.entries.get(entry.key)?.version ?? 0),
    );
    if (changed.length === 0) return {state, changed};
    const valid = changed.filter(options.isValid);
    const pairs = (list: readonly ConfigEntry[]) =>
      list.map(entry => [entry.key, entry] as const);
    const versions = changed.map(entry => entry.version);
    return {
      changed,
      state: {
        entries: new Map([...state.entries, ...pairs(changed)]),
        inForce: new Map([...state.inForce, ...pairs(valid)]),
        revision: Math.max(state.revision, ...versions),
        checksum: checksumOf(state, changed, options.hash),
      },
    };
  },

  digest(state: ConfigState): ConfigDigest {
    const {revision, checksum} = state;
    return {revision, checksum, count: state.entries.size};
  },

  /** True where two nodes know the same versions of the same records. */
  sameDigest(a: ConfigDigest, b: ConfigDigest): boolean {
    return (
      a.revision === b.revision &&
      a.checksum === b.checksum &&
      a.count === b.count
    );
  },

  /** Returns the entries over a version, and what is in force for each. */
  since(state: ConfigState, version: number): ConfigEntry[] {
    const fresh = [...state.entries.values()].filter(
      entry => entry.version > version,
    );
    const older = fresh
      .map(entry => state.inForce.get(entry.key))
      .filter(entry => entry !== undefined)
      .filter(entry => !fresh.includes(entry));
    return [...older, ...fresh];
  },
};
