/** One record as the platform holds it, with its version. */
export interface ConfigEntry {
  /** Kind and name, such as `workspace/lindenau`. */
  readonly key: string;
  /** Version that the platform gave; versions of all records are ordered. */
  readonly version: number;
  /** The record as JSON text; undefined where it has been deleted. */
  readonly value?: string;
}
