/** Digest of a node's configuration, to compare with that of a peer. */
export interface ConfigDigest {
  /** Highest version of any entry; 0 if there is none. */
  readonly revision: number;
  /** Order-independent hash of all keys, versions and valid versions. */
  readonly checksum: number;
  /** Number of entries, deleted records included. */
  readonly count: number;
}
