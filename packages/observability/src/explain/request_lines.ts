import type {LogLine} from './log_line.js';

/** Milliseconds before a request's first line in which to look for a cause. */
const LOOKBACK_MS = 5_000;

/** Messages on the state of a node, of its configuration or of its store. */
const NODE_MESSAGES: readonly string[] = [
  'configuration in force',
  'configuration not readable',
  'zones out',
  'store lost',
  'store restored',
  'store relays',
  'store reached',
  'entry lost',
  'settings reloaded',
  'gateway starts',
  'gateway leaves',
  'gateway stops',
];

/** Messages on a backend server; relevant to requests that used it. */
const SERVER_MESSAGES: readonly string[] = [
  'server changed',
  'server unlisted',
  'server avoided',
];

function textField({fields}: LogLine, name: string): string {
  const value = fields[name];
  return typeof value === 'string' ? value : '';
}

function belongsTo(line: LogLine, requestId: string): boolean {
  return (
    textField(line, 'requestId') === requestId ||
    textField(line, 'reservationId').startsWith(`${requestId}.`)
  );
}

function serversOf(lines: readonly LogLine[]): ReadonlySet<string> {
  const ids = lines.flatMap(line => [
    textField(line, 'serverId'),
    ...textField(line, 'helpers').split(' '),
  ]);
  return new Set(ids.filter(id => id.length > 0));
}

/** Selects the log lines that belong to a request or explain its outcome. */
export const requestLines = {
  /** True if the line has the request id, or a reservation id of the request. */
  belongsTo,

  /**
   * Returns a filter for lines that may show the cause of a request's outcome:
   * lines of the same nodes, written during the request or shortly before it.
   * @param own the lines of the request, at least one
   */
  contextFilter(own: readonly LogLine[]): (line: LogLine) => boolean {
    const times = own.map(({time}) => time);
    const from = Math.min(...times) - LOOKBACK_MS;
    const to = Math.max(...times);
    const nodes = new Set(own.map(({node}) => node));
    const servers = serversOf(own);
    return line => {
      if (line.time < from || line.time > to) return false;
      if (!nodes.has(line.node)) return false;
      if (NODE_MESSAGES.includes(line.message)) return true;
      const isServerMessage =
        SERVER_MESSAGES.includes(line.message) ||
        line.message === 'attempt ended';
      return isServerMessage && servers.has(textField(line, 'serverId'));
    };
  },
};
