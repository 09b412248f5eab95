/** Exit codes of commands, for scripts. */
export const EXIT_CODE = {
  DONE: 0,
  FAILED: 1,
  /** The command line or the settings are wrong. */
  USAGE: 2,
  /** What was asked about is not yet so, such as a record in force. */
  NOT_YET: 3,
  /** Somebody else has changed the record. */
  CONFLICT: 4,
} as const;
