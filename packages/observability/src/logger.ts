import type {LogFields} from './log_fields.js';

type Log = (message: string, fields?: LogFields) => void;

/** Writes structured log lines. */
export interface Logger {
  readonly debug: Log;
  readonly info: Log;
  readonly warn: Log;
  readonly error: Log;
}
