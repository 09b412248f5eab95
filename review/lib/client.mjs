/** Stand-in of a client: one attempt, on a new connection unless said. */
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

/** Milliseconds that a client waits beyond its deadline. */
const PATIENCE_MS = 1_000;

/**
 * Tells whether the connection of an answer without a length was reset. Node.js
 * reports a reset that comes together with data as a regular end; only the
 * peer's address is missing then.
 */
function detectReset({socket, headers}) {
  let wasReset = false;
  const isDelimited =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  if (!isDelimited) {
    socket.prependOnceListener('end', () => {
      wasReset = socket.remoteAddress === undefined;
    });
  }
  return () => wasReset;
}

/**
 * Sends one request and resolves to what the client saw. `ended` is `complete`
 * if HTTP calls the answer whole, `broken` if the connection failed before, and
 * `silent` if nothing more came until the deadline.
 */
export function sendAttempt({
  gateway,
  host,
  path,
  key,
  method = 'POST',
  body = '',
  deadlineMs = 10_000,
  headers = {},
  agent = false,
}) {
  const attemptId = randomBytes(8).toString('hex');
  const sentAt = Date.now();
  return new Promise(resolve => {
    const seen = {attemptId, gateway: gateway.name, path, sentAt, body: ''};
    const finish = (ended, error) => {
      clearTimeout(timer);
      if (ended !== 'complete') req.destroy();
      resolve({...seen, ended, error, endedAt: Date.now()});
    };
    const req = request({
      host: gateway.host,
      port: gateway.port,
      method,
      path,
      agent,
      headers: {
        host,
        'x-attempt-id': attemptId,
        'x-key': key,
        'x-deadline-milliseconds': deadlineMs,
        'content-length': body.length,
        ...headers,
      },
    });
    const timer = setTimeout(() => finish('silent'), deadlineMs + PATIENCE_MS);
    req.on('error', error => finish('broken', error.message));
    req.on('response', res => {
      seen.status = res.statusCode;
      seen.headers = res.headers;
      res.on('error', error => finish('broken', error.message));
      res.on('data', chunk => {
        seen.body += chunk;
      });
      const wasReset = detectReset(res);
      res.on('end', () => {
        const isWhole = res.complete && !wasReset();
        finish(isWhole ? 'complete' : 'broken');
      });
    });
    req.end(body);
  });
}
