import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {HttpFailure} from './http_failure.js';
import type {HttpRequest} from './http_request.js';
import type {HttpResponse} from './http_response.js';
import {openExchange} from './open_exchange.js';
import {readBody} from './read_body.js';

/** Sends a request and reads the whole response, whatever its status. */
export async function exchange(
  options: HttpRequest,
): Promise<Result<HttpResponse, HttpFailure>> {
  const opened = await openExchange(options);
  if (opened.isErr()) return err(opened.error);
  const res = opened.value;
  const body = await readBody(res, options.maxBodyBytes);
  return body.andThen(bytes =>
    ok({
      status: res.statusCode ?? 0,
      contentType: res.headers['content-type'] ?? 'application/octet-stream',
      headers: res.headers,
      body: bytes,
    }),
  );
}
