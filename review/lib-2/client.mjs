import {request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

/**
 * Sends one request as a client does; resolves with its outcome. It gives up
 * `graceMs` after its deadline.
 */
export function sendRequest(gateway, options) {
  const {id, key, host, path, body = '', deadlineMs} = options;
  const {method = 'POST', headers = {}, agent, graceMs = 500} = options;
  const sentAt = performance.now();
  return new Promise(resolve => {
    let res;
    let text = '';
    const end = (isComplete, error) => {
      clearTimeout(timer);
      const endedAt = performance.now();
      resolve({
        id,
        gateway: gateway.name,
        sentAt,
        endedAt,
        tookMs: Math.round(endedAt - sentAt),
        status: res?.statusCode,
        seal: res?.headers['x-response-seal'],
        text,
        isComplete,
        error,
      });
    };
    const req = request({
      agent: agent ?? false,
      host: gateway.host,
      port: gateway.callerPort,
      method,
      path,
      setHost: false,
      headers: {
        host,
        'x-attempt-id': id,
        'x-deadline-milliseconds': deadlineMs,
        'x-key': key,
        'content-length': body.length,
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      req.destroy(new Error('the client gave up'));
    }, deadlineMs + graceMs);
    req.on('error', ({message}) => end(false, message));
    req.on('response', response => {
      res = response;
      res.setEncoding('latin1');
      res.on('data', chunk => (text += chunk));
      res.on('aborted', () => end(false, 'cut off'));
      res.on('error', ({message}) => end(false, message));
      res.on('end', () => end(res.complete));
    });
    req.end(body);
  });
}
