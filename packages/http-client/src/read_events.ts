import type {IncomingMessage} from 'node:http';
import {StringDecoder} from 'node:string_decoder';

const DATA_PREFIX = 'data: ';

/**
 * Yields the data of each server-sent event of a response. Each `data` line
 * counts as an event; other fields are ignored.
 */
export async function* readEvents(
  res: IncomingMessage,
): AsyncGenerator<string> {
  const decoder = new StringDecoder('utf8');
  let incompleteLine = '';
  for await (const chunk of res) {
    const lines = (incompleteLine + decoder.write(chunk as Buffer)).split('\n');
    incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      if (line.startsWith(DATA_PREFIX)) yield line.slice(DATA_PREFIX.length);
    }
  }
}
