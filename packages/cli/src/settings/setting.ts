import type {Result} from 'neverthrow';

/** One setting of a command, from a flag or an environment variable. */
export interface Setting<Value> {
  /** Name of the flag, without dashes. */
  readonly flag: string;
  /** Name of the environment variable; the flag takes precedence. */
  readonly env: string;
  /** Description for `--help` and for the error of a missing setting. */
  readonly help: string;
  /** Default, parsed like a given text; without one, the setting is required. */
  readonly defaultText?: string;
  /** True if the setting has no default and may be missing. */
  readonly optional?: boolean;
  /** Parses a text; the error says what is allowed, such as `must be a URL`. */
  readonly parse: (text: string) => Result<Value, string>;
}
