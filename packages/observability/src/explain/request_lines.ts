import type {LogLine} from './log_line.js';

/** Milliseconds before a request in which a cause is looked for. */
const BEFORE_MS = 5_000;

/** Messages about what a process believes of everything. */
const BELIEFS: readonly string[] = [
  'configuration in force',
  'configuration not readable',
  'zones out',
  'store lost',
  'store reached',
  'entry lost',
  'settings reloaded',
  'gateway starts',
  'gateway leaves',
  'gateway stops',
];

/** Messages about one backend server. */
const SERVER_NEWS: readonly string[] = [
  'server changed',
  'server unlisted',
  'server avoided',
];

function textOf({fields}: LogLine, name: string): string {
  const value = fields[name];
  return typeof value === 'string' ? value : '';
}

function isAbout(line: LogLine, requestId: string): boolean {
  return (
    textOf(line, 'requestId') === requestId ||
    textOf(line, 'reservationId').startsWith(`${requestId}.`)
  );
}

function serversOf(lines: readonly LogLine[]): ReadonlySet<string> {
  const ids = lines.flatMap(line => [
    textOf(line, 'serverId'),
    ...textOf(line, 'helpers').split(' '),
  ]);
  return new Set(ids.filter(id => id.length > 0));
}

/** Finds the lines of a log that belong to one request. */
export const requestLines = {
  isAbout,

  /** Returns a test for lines that may tell the cause of what happened. */
  contextOf(own: readonly LogLine[]): (line: LogLine) => boolean {
    const times = own.map(({time}) => time);
    const from = Math.min(...times) - BEFORE_MS;
    const to = Math.max(...times);
    const nodes = new Set(own.map(({node}) => node));
    const servers = serversOf(own);
    return line => {
      if (line.time < from || line.time > to) return false;
      if (!nodes.has(line.node)) return false;
      if (BELIEFS.includes(line.message)) return true;
      const isNews =
        SERVER_NEWS.includes(line.message) || line.message === 'attempt ended';
      return isNews && servers.has(textOf(line, 'serverId'));
    };
  },
};
