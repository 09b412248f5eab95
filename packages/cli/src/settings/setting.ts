import type {Result} from 'neverthrow';

/** One setting of a command, from a flag or an environment variable. */
export interface Setting<Value> {
  /** Name of the flag, without dashes. */
  readonly flag: string;
  /** Name of the environment variable; a flag goes before it. */
  readonly env: string;
  readonly help: string;
  /** Text of the default; a setting without one is required. */
  readonly fallback?: string;
  /** True where the setting may be left out. */
  readonly optional?: boolean;
  /** Parses a text, or says what is allowed. */
  readonly parse: (text: string) => Result<Value, string>;
}
