import type {IncomingMessage} from 'node:http';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {HttpFailure} from './http_failure.js';

/** Reads the whole body of a response; fails with `lost` if it is incomplete. */
export async function readBody(
  res: IncomingMessage,
): Promise<Result<Buffer, HttpFailure>> {
  try {
    const chunks: Buffer[] = [];
    for await (const chunk of res) chunks.push(chunk as Buffer);
    if (!res.complete)
      return err({type: 'lost', message: 'The body is incomplete.'});
    return ok(Buffer.concat(chunks));
  } catch (error) {
    return err({type: 'lost', message: (error as Error).message});
  }
}
