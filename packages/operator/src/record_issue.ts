/** One thing that is wrong with a record. */
export interface RecordIssue {
  /** Path of the field, such as `limits.running`. */
  readonly field: string;
  /** The value that stands there, as JSON. */
  readonly value: string;
  /** What is allowed. */
  readonly allowed: string;
}
