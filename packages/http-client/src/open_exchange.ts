import {Agent, request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {setConnectTimeout} from './set_connect_timeout.js';
import type {HttpFailure} from './http_failure.js';
import type {HttpRequest} from './http_request.js';

const keepAlive = new Agent({keepAlive: true, maxSockets: 512});

/** Milliseconds within which a connection must be there. */
const CONNECT_MS = 700;

const REFUSED_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];

function failureOf(error: NodeJS.ErrnoException): HttpFailure {
  const wasRefused = REFUSED_CODES.includes(error.code ?? '');
  return {type: wasRefused ? 'not-sent' : 'lost', message: error.message};
}

/**
 * Sends a request and returns the response once its head has come. The
 * timeout bounds each silence up to the end of the body; a connection that
 * does not come about ends the request sooner.
 */
export function openExchange(
  options: HttpRequest,
): Promise<Result<IncomingMessage, HttpFailure>> {
  return new Promise(resolve => {
    const {body} = options;
    const length = body === undefined ? 0 : Buffer.byteLength(body);
    const req = request(`${options.baseUrl}${options.path}`, {
      method: options.method,
      headers: {...options.headers, 'content-length': length},
      agent: keepAlive,
      signal: options.signal,
      lookup: options.lookup,
    });
    setConnectTimeout(req, CONNECT_MS, () => {
      const message = `No connection to ${options.baseUrl} within ${CONNECT_MS} ms.`;
      resolve(err({type: 'not-sent', message}));
      req.destroy();
    });
    req.setTimeout(options.timeoutMs, () => {
      const message = `No answer for ${options.timeoutMs} ms from ${options.baseUrl}.`;
      req.destroy(new Error(message));
    });
    req.on('response', res => resolve(ok(res)));
    req.on('error', error => resolve(err(failureOf(error))));
    req.end(body);
  });
}
