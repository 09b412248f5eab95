import {parseArgs} from 'node:util';
import type {Command} from './commands/command.js';
import {COMMANDS} from './commands/command_table.js';
import {EXIT_CODE} from './commands/exit_code.js';
import type {Output} from './commands/output.js';
import {VERSION} from './constants.js';
import {helpText} from './help_text.js';
import {SETTINGS} from './settings/setting_table.js';

interface MainOptions {
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
}

/** Builds the options for `parseArgs` from the flags and settings. */
function buildArgOptions(command: Command) {
  const settings = command.settings.map(
    name => [SETTINGS[name].flag, {type: 'string'}] as const,
  );
  const flags = Object.entries(command.flags).map(
    ([name, {type}]) => [name, {type}] as const,
  );
  const help = [['help', {type: 'boolean'}]] as const;
  return Object.fromEntries([...settings, ...flags, ...help]);
}

async function runCommand(
  name: string,
  command: Command,
  {argv, env, output}: MainOptions,
): Promise<number> {
  const parsed = parseArgs({
    args: [...argv],
    options: buildArgOptions(command),
    allowPositionals: true,
  });
  const flags = parsed.values as Record<string, string | boolean | undefined>;
  if (flags.help) {
    output.print(helpText.command(name, command));
    return EXIT_CODE.SUCCESS;
  }
  return command.run({flags, args: parsed.positionals, env, output});
}

/** Runs the command that `argv` names and returns the exit code. */
export async function main(options: MainOptions): Promise<number> {
  const [name, ...argv] = options.argv;
  const {print, printError} = options.output;
  if (name === undefined || name === '--help') {
    print(helpText.program());
    return name ? EXIT_CODE.SUCCESS : EXIT_CODE.USAGE;
  }
  if (name === '--version') {
    print(VERSION);
    return EXIT_CODE.SUCCESS;
  }
  const command = Object.hasOwn(COMMANDS, name) ? COMMANDS[name] : undefined;
  if (!command) {
    printError(`Unknown command "${name}". See figfall --help.`);
    return EXIT_CODE.USAGE;
  }
  try {
    return await runCommand(name, command, {...options, argv});
  } catch (error) {
    printError(`${(error as Error).message} See figfall ${name} --help.`);
    return EXIT_CODE.USAGE;
  }
}
