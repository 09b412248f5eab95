import type {IncomingMessage} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

interface BodyBounds {
  readonly bytesMax: number;
  readonly timeoutMs: number;
}

function tooLarge(bytesMax: number): Failure {
  return createFailure(
    'body-too-large',
    `The body is over ${bytesMax} bytes. Send a shorter one.`,
  );
}

/** Reads a body within bounds of size and time. */
export function readBoundedBody(
  req: IncomingMessage,
  bounds: BodyBounds,
): Promise<Result<Buffer, Failure>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > bounds.bytesMax) {
    return Promise.resolve(err(tooLarge(bounds.bytesMax)));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Result<Buffer, Failure>) => {
      clearTimeout(timer);
      req.off('data', onData);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > bounds.bytesMax) return finish(err(tooLarge(bounds.bytesMax)));
      chunks.push(chunk);
    };
    const timer = setTimeout(() => {
      const message = `The body did not come within ${bounds.timeoutMs} ms.`;
      finish(err(createFailure('body-timeout', message)));
    }, bounds.timeoutMs);
    req.on('data', onData);
    req.on('end', () => finish(ok(Buffer.concat(chunks))));
    req.on('error', () =>
      finish(err(createFailure('cancelled', 'The caller went away.'))),
    );
  });
}
