import type {IncomingMessage} from 'node:http';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {BodyBuffer} from './body_buffer.js';
import type {HttpFailure} from './http_failure.js';

const DEFAULT_MAX_BYTES = 33_554_432;

/**
 * Reads the whole body of a response; fails with `lost` if it is incomplete or
 * longer than `maxBytes`.
 */
export async function readBody(
  res: IncomingMessage,
  maxBytes = DEFAULT_MAX_BYTES,
): Promise<Result<Buffer, HttpFailure>> {
  try {
    const body = new BodyBuffer({take: () => true});
    let bytes = 0;
    for await (const chunk of res as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) break;
      body.append(chunk);
    }
    if (bytes > maxBytes) {
      const message = `The body is longer than ${maxBytes} bytes.`;
      return err({type: 'lost', message});
    }
    if (!res.complete)
      return err({type: 'lost', message: 'The body is incomplete.'});
    return ok(body.whole());
  } catch (error) {
    return err({type: 'lost', message: (error as Error).message});
  }
}
