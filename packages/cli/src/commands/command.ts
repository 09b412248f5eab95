import type {SettingName} from '../settings/setting_name.js';
import type {Output} from './output.js';

/** What a command is called with. */
interface Invocation {
  readonly flags: Readonly<Record<string, string | boolean | undefined>>;
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
}

/** A flag of a command that is no setting. */
interface Flag {
  readonly type: 'string' | 'boolean';
  readonly help: string;
}

/** One command of the program. */
export interface Command {
  readonly summary: string;
  /** Arguments as the help shows them. */
  readonly usage: string;
  readonly settings: readonly SettingName[];
  readonly flags: Readonly<Record<string, Flag>>;
  /** Runs the command and returns its exit code. */
  readonly run: (invocation: Invocation) => Promise<number>;
}
