import type {ConfigEntry} from './config_entry.js';

/** The records that a node knows. */
export interface ConfigState {
  /** Newest entry of each record, tombstones included. */
  readonly entries: ReadonlyMap<string, ConfigEntry>;
  /** Newest valid entry of each record: what is in force. */
  readonly validEntries: ReadonlyMap<string, ConfigEntry>;
  /** Highest version of any entry. */
  readonly revision: number;
  /** Order-independent hash of all keys, versions and versions in force. */
  readonly checksum: number;
}
