/** Exit codes of commands, for scripts. */
export const EXIT_CODE = {
  SUCCESS: 0,
  FAILED: 1,
  /** The command line or the settings are wrong. */
  USAGE: 2,
  /** The newest records are not yet in force on all nodes. */
  NOT_IN_FORCE: 3,
  /** The record has another version than expected. */
  CONFLICT: 4,
} as const;
