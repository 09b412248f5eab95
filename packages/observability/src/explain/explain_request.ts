import {describeOutcome} from './describe_outcome.js';
import type {LogLine} from './log_line.js';
import {parseLogLine} from './parse_log_line.js';
import {requestLines} from './request_lines.js';

/**
 * Reads all lines of all logs. It is called once for each of two passes, so
 * that only the selected lines are kept in memory.
 */
type ReadLines = () => AsyncIterable<string>;

const MS_PER_SECOND = 1_000;

async function collect(
  read: ReadLines,
  isSelected: (line: LogLine) => boolean,
): Promise<readonly LogLine[]> {
  const selected: LogLine[] = [];
  for await (const text of read()) {
    const line = parseLogLine(text);
    if (line && isSelected(line)) selected.push(line);
  }
  return selected;
}

function format(line: LogLine, startedAt: number, isOwn: boolean): string {
  const {time, node, message, fields} = line;
  const seconds = (time - startedAt) / MS_PER_SECOND;
  const offset = `${seconds < 0 ? '' : '+'}${seconds.toFixed(3)} s`;
  const values = Object.entries(fields)
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name}=${String(value)}`);
  const marker = isOwn ? '*' : ' ';
  return `${marker} ${offset.padStart(10)}  ${node}  ${message}  ${values.join(' ')}`;
}

/**
 * Explains a request from the logs of all processes. Returns its lines, marked
 * with `*`, and the lines that may show the cause, in order of time, followed
 * by a description of the outcome. Returns undefined if no line has the id.
 */
export async function explainRequest(
  read: ReadLines,
  requestId: string,
): Promise<readonly string[] | undefined> {
  const isOwn = (line: LogLine) => requestLines.belongsTo(line, requestId);
  const own = await collect(read, isOwn);
  const [first] = own;
  if (!first) return undefined;
  const isContext = requestLines.contextFilter(own);
  const lines = await collect(read, line => isOwn(line) || isContext(line));
  const startedAt = Math.min(...own.map(({time}) => time));
  const formatted = lines
    .toSorted((a, b) => a.time - b.time)
    .map(line => format(line, startedAt, isOwn(line)));
  return [...formatted, '', describeOutcome(own)];
}
