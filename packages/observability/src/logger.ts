import type {LogFields} from './log_fields.js';

type LogMethod = (message: string, fields?: LogFields) => void;

/** Writes structured log lines, one method per level. */
export interface Logger {
  readonly debug: LogMethod;
  readonly info: LogMethod;
  readonly warn: LogMethod;
  readonly error: LogMethod;
}
