import type {SettingName} from '../settings/setting_name.js';
import type {Output} from './output.js';

/** The parsed arguments, the environment and the output of a command. */
interface Invocation {
  readonly flags: Readonly<Record<string, string | boolean | undefined>>;
  /** Positional arguments. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
}

/** A flag of a command that is not a setting. */
interface Flag {
  readonly type: 'string' | 'boolean';
  readonly help: string;
}

/** One command of the program. */
export interface Command {
  readonly summary: string;
  /** Positional arguments for the usage line of `--help`. */
  readonly usage: string;
  /** Settings that the command accepts. */
  readonly settings: readonly SettingName[];
  readonly flags: Readonly<Record<string, Flag>>;
  /** Runs the command and returns its exit code. */
  readonly run: (invocation: Invocation) => Promise<number>;
}
