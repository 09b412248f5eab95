import type {LogLine} from './log_line.js';
import {parseLogLine} from './parse_log_line.js';
import {requestLines} from './request_lines.js';
import {tellOutcome} from './tell_outcome.js';

/** Reads all lines of all logs; called more than once. */
type ReadLines = () => AsyncIterable<string>;

const MS_PER_SECOND = 1_000;

async function collect(
  read: ReadLines,
  keeps: (line: LogLine) => boolean,
): Promise<readonly LogLine[]> {
  const kept: LogLine[] = [];
  for await (const text of read()) {
    const line = parseLogLine(text);
    if (line && keeps(line)) kept.push(line);
  }
  return kept;
}

function format(line: LogLine, startedAt: number, isOwn: boolean): string {
  const {time, node, message, fields} = line;
  const seconds = (time - startedAt) / MS_PER_SECOND;
  const at = `${seconds < 0 ? '' : '+'}${seconds.toFixed(3)} s`;
  const values = Object.entries(fields)
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name}=${String(value)}`);
  const mark = isOwn ? '*' : ' ';
  return `${mark} ${at.padStart(10)}  ${node}  ${message}  ${values.join(' ')}`;
}

/**
 * Tells the story of one request from the logs of all processes: its own
 * lines, marked with a star, among those that may tell the cause. Returns
 * nothing where no line has its id.
 */
export async function explainRequest(
  read: ReadLines,
  requestId: string,
): Promise<readonly string[] | undefined> {
  const isOwn = (line: LogLine) => requestLines.isAbout(line, requestId);
  const own = await collect(read, isOwn);
  const [first] = own;
  if (!first) return undefined;
  const isContext = requestLines.contextOf(own);
  const lines = await collect(read, line => isOwn(line) || isContext(line));
  const startedAt = Math.min(...own.map(({time}) => time));
  const story = lines
    .toSorted((a, b) => a.time - b.time)
    .map(line => format(line, startedAt, isOwn(line)));
  return [...story, '', tellOutcome(own)];
}
