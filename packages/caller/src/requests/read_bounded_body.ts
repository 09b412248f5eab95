import type {IncomingMessage} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {BodyBuffer} from '@figfall/http-client';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

function tooLarge(maxBytes: number): Failure {
  return createFailure(
    'body-too-large',
    `The body is larger than ${maxBytes} bytes. Send a smaller one.`,
  );
}

/**
 * Reads a request body within limits of size and time. Fails with
 * `body-too-large`, `body-timeout` or, if the caller disconnects, `cancelled`.
 */
export function readBoundedBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer, Failure>> {
  const declaredLength = Number(req.headers['content-length'] ?? 0);
  if (declaredLength > limits.maxBytes) {
    return Promise.resolve(err(tooLarge(limits.maxBytes)));
  }
  return new Promise(resolve => {
    const body = new BodyBuffer({take: () => true});
    let size = 0;
    const finish = (result: Result<Buffer, Failure>) => {
      clearTimeout(timer);
      req.off('data', onData);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBytes) return finish(err(tooLarge(limits.maxBytes)));
      body.append(chunk);
    };
    const timer = setTimeout(() => {
      const message = `The body did not arrive within ${limits.timeoutMs} ms.`;
      finish(err(createFailure('body-timeout', message)));
    }, limits.timeoutMs);
    req.on('data', onData);
    req.on('end', () => finish(ok(body.whole())));
    req.on('error', () =>
      finish(err(createFailure('cancelled', 'The caller disconnected.'))),
    );
  });
}
