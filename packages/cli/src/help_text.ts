import type {Command} from './commands/command.js';
import {COMMANDS} from './commands/command_table.js';
import type {Setting} from './settings/setting.js';
import {SETTINGS} from './settings/setting_table.js';

const COLUMN = 30;

function row(left: string, right: string): string {
  return `  ${left.padEnd(COLUMN)} ${right}`;
}

function settingRows(command: Command): string[] {
  return command.settings.flatMap(name => {
    const setting = SETTINGS[name] as Setting<unknown>;
    const fallback = setting.fallback ? ` [${setting.fallback}]` : '';
    const note = setting.optional ? ' (optional)' : fallback;
    return [
      row(`--${setting.flag} VALUE`, `${setting.help}${note}`),
      row('', `environment: ${setting.env}`),
    ];
  });
}

function flagRows(command: Command): string[] {
  return Object.entries(command.flags).map(([name, {type, help}]) =>
    row(`--${name}${type === 'string' ? ' VALUE' : ''}`, help),
  );
}

/** Text of `--help`, made from the same tables as the parsing. */
export const helpText = {
  program(): string {
    const rows = Object.entries(COMMANDS).map(([name, {summary}]) =>
      row(name, summary),
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

  command(name: string, command: Command): string {
    return [
      `usage: figfall ${name} ${command.usage}`.trimEnd(),
      '',
      command.summary,
      '',
      'options:',
      ...flagRows(command),
      ...settingRows(command),
      row('--help', 'print this text'),
    ].join('\n');
  },
};
