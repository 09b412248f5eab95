import type {LogLine} from './log_line.js';

const STANDARD_FIELDS = ['time', 'node', 'message', 'level', 'scope'];

function parseObject(text: string): Record<string, unknown> | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    // Logs also contain output of other programs and truncated lines.
    return undefined;
  }
}

/**
 * Parses a log line and skips any prefix that a log collector has put before
 * the JSON. Returns undefined unless figfall wrote the line.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const parsed = parseObject(text);
  const {time, node, message} = parsed ?? {};
  if (!parsed || typeof time !== 'string') return undefined;
  if (typeof node !== 'string' || typeof message !== 'string') return undefined;
  const fields = Object.fromEntries(
    Object.entries(parsed).filter(([name]) => !STANDARD_FIELDS.includes(name)),
  );
  return {time: Date.parse(time), node, message, fields};
}
