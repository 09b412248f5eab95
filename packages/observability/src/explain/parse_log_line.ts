import type {LogLine} from './log_line.js';

const OWN_FIELDS = ['time', 'node', 'message', 'level', 'scope'];

function parseObject(text: string): Record<string, unknown> | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    // Logs also hold lines of other programs, and lines that were cut off.
    return undefined;
  }
}

/**
 * Parses a line of a log; what a collector writes before the JSON is left
 * out. Returns nothing for a line that is not one of figfall's.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const parsed = parseObject(text);
  const {time, node, message} = parsed ?? {};
  if (!parsed || typeof time !== 'string') return undefined;
  if (typeof node !== 'string' || typeof message !== 'string') return undefined;
  const fields = Object.fromEntries(
    Object.entries(parsed).filter(([name]) => !OWN_FIELDS.includes(name)),
  );
  return {time: Date.parse(time), node, message, fields};
}
