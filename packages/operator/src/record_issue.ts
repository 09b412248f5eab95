/** A validation error of a record. */
export interface RecordIssue {
  /** Path such as `limits.running`; `(record)` for the whole record. */
  readonly field: string;
  /** Invalid value as JSON, `nothing` if absent; start of unparsable text. */
  readonly value: string;
  /** Description of the allowed values. */
  readonly allowed: string;
}
