import type {Command} from './commands/command.js';
import {COMMANDS} from './commands/command_table.js';
import type {Setting} from './settings/setting.js';
import {SETTINGS} from './settings/setting_table.js';

/** Width of the left column in characters. */
const LEFT_COLUMN_CHARS = 30;

function formatRow(left: string, right: string): string {
  return `  ${left.padEnd(LEFT_COLUMN_CHARS)} ${right}`;
}

function settingRows(command: Command): string[] {
  return command.settings.flatMap(name => {
    const setting = SETTINGS[name] as Setting<unknown>;
    const defaultNote = setting.defaultText ? ` [${setting.defaultText}]` : '';
    const note = setting.optional ? ' (optional)' : defaultNote;
    return [
      formatRow(`--${setting.flag} VALUE`, `${setting.help}${note}`),
      formatRow('', `environment: ${setting.env}`),
    ];
  });
}

function flagRows(command: Command): string[] {
  return Object.entries(command.flags).map(([name, {type, help}]) =>
    formatRow(`--${name}${type === 'string' ? ' VALUE' : ''}`, help),
  );
}

/** Texts of `--help`, from the same tables that the parser uses. */
export const helpText = {
  /** Lists the commands. */
  program(): string {
    const rows = Object.entries(COMMANDS).map(([name, {summary}]) =>
      formatRow(name, summary),
    );
    return [
      'usage: figfall COMMAND [OPTIONS]',
      '',
      'commands:',
      ...rows,
      '',
      'figfall COMMAND --help describes a command; figfall --version prints the version.',
    ].join('\n');
  },

  /** Describes one command with its flags and settings. */
  command(name: string, command: Command): string {
    return [
      `usage: figfall ${name} ${command.usage}`.trimEnd(),
      '',
      command.summary,
      '',
      'options:',
      ...flagRows(command),
      ...settingRows(command),
      formatRow('--help', 'print this text'),
    ].join('\n');
  },
};
