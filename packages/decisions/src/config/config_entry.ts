/** One version of a configuration record on the platform. */
export interface ConfigEntry {
  /** Kind and name of the record, such as `workspace/lindenau`. */
  readonly key: string;
  /** Version from the platform; increases over the writes of all records. */
  readonly version: number;
  /** The record as JSON text; undefined if it was deleted. */
  readonly value?: string;
}
