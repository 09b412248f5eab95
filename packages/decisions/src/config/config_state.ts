import type {ConfigEntry} from './config_entry.js';

/** A node's replica of the configuration. */
export interface ConfigState {
  /** Newest known entry of each record by key, tombstones included. */
  readonly entries: ReadonlyMap<string, ConfigEntry>;
  /** Newest valid entry of each record by key; the node applies these. */
  readonly validEntries: ReadonlyMap<string, ConfigEntry>;
  /** Highest version of any entry; 0 if there is none. */
  readonly revision: number;
  /** Order-independent hash of all keys, versions and valid versions. */
  readonly checksum: number;
}
