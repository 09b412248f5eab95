/** A short description of the records that a node knows. */
export interface ConfigDigest {
  readonly revision: number;
  readonly checksum: number;
  readonly count: number;
}
