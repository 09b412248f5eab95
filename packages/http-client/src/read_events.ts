import type {IncomingMessage} from 'node:http';
import {StringDecoder} from 'node:string_decoder';
import {PendingText} from './pending_text.js';

const DATA_PREFIX = 'data: ';

/**
 * Yields the data of each server-sent event of a response. Each `data` line
 * counts as an event; other fields are ignored. A line that is too long, or
 * arrives in too many pieces, ends the events as a lost connection does.
 */
export async function* readEvents(
  res: IncomingMessage,
): AsyncGenerator<string> {
  const decoder = new StringDecoder('utf8');
  const incompleteLine = new PendingText();
  for await (const chunk of res) {
    const pieces = decoder.write(chunk as Buffer).split('\n');
    const rest = pieces.pop() ?? '';
    for (const piece of pieces) {
      const line = incompleteLine.complete(piece);
      if (line.startsWith(DATA_PREFIX)) yield line.slice(DATA_PREFIX.length);
    }
    if (!incompleteLine.append(rest)) return;
  }
}
