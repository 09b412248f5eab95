import {request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {failOnReset} from './fail_on_reset.js';
import type {HttpFailure} from './http_failure.js';
import type {HttpRequest} from './http_request.js';
import {IdleLimitedAgent} from './idle_limited_agent.js';
import {isFinalStatus} from './is_final_status.js';
import {setConnectTimeout} from './set_connect_timeout.js';

const keepAliveAgent = new IdleLimitedAgent({maxSockets: 512});

/** Milliseconds within which a connection must be established. */
const CONNECT_TIMEOUT_MS = 700;

/** Error codes of connections that were not established. */
const CONNECT_ERROR_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];

function toHttpFailure(error: NodeJS.ErrnoException): HttpFailure {
  const isConnectError = CONNECT_ERROR_CODES.includes(error.code ?? '');
  return {type: isConnectError ? 'not-sent' : 'lost', message: error.message};
}

/**
 * Sends a request and returns the response once its headers have arrived, for
 * the caller to read or to destroy. The timeout applies to each period without
 * data, also while the body is read; connecting has a shorter timeout.
 */
export async function openExchange(
  options: HttpRequest,
): Promise<Result<IncomingMessage, HttpFailure>> {
  try {
    return await sendRequest(options);
  } catch (error) {
    // Node.js throws for an address or a header that it can't send.
    return err({type: 'not-sent', message: (error as Error).message});
  }
}

function sendRequest(
  options: HttpRequest,
): Promise<Result<IncomingMessage, HttpFailure>> {
  return new Promise(resolve => {
    const {body} = options;
    const length = body === undefined ? 0 : Buffer.byteLength(body);
    if (options.idempotent === false) {
      const {hostname: host, port} = new URL(options.baseUrl);
      keepAliveAgent.prepareNonIdempotent({host, port: Number(port)});
    }
    const req = request(`${options.baseUrl}${options.path}`, {
      method: options.method,
      headers: {...options.headers, 'content-length': length},
      agent: keepAliveAgent,
      signal: options.signal,
      lookup: options.lookup,
    });
    setConnectTimeout(req, CONNECT_TIMEOUT_MS, () => {
      const message = `No connection to ${options.baseUrl} within ${CONNECT_TIMEOUT_MS} ms.`;
      resolve(err({type: 'not-sent', message}));
      req.destroy();
    });
    req.setTimeout(options.timeoutMs, () => {
      const message = `No data from ${options.baseUrl} for ${options.timeoutMs} ms.`;
      req.destroy(new Error(message));
    });
    let opened: IncomingMessage | undefined;
    req.on('response', res => {
      opened = res;
      if (!isFinalStatus(res.statusCode)) {
        const message = `The status ${res.statusCode} is none that HTTP knows.`;
        resolve(err({type: 'lost', message}));
        req.destroy();
        return;
      }
      keepAliveAgent.recordResponse(res);
      failOnReset(res);
      resolve(ok(res));
    });
    req.on('error', error => {
      // Node.js would end a body without a length as if it were whole.
      opened?.destroy(error);
      resolve(err(toHttpFailure(error)));
    });
    req.end(body);
  });
}
