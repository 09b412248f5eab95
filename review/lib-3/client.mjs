/** A client of the platform: sends one request and tells how it ended. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';

let count = 0;
const PREFIX = Date.now().toString(16).slice(-8);

export function newRequestId() {
  count += 1;
  return `${PREFIX}${count.toString(16).padStart(8, '0')}`;
}

export function keepAliveAgent() {
  return new Agent({keepAlive: true, maxSockets: 1});
}

/** Sends a request; resolves with its status, body, and whether it was cut. */
export function send(gateway, options) {
  const {path, method = 'POST', body = '', timeoutMs = 4_000} = options;
  const {id = newRequestId(), agent, headers = {}, key = 'key-a'} = options;
  const sentAt = Date.now();
  return new Promise(resolve => {
    const outcome = {id, path, sentAt, status: 0, body: '', complete: false};
    const done = error => {
      resolve({...outcome, error, tookMs: Date.now() - sentAt});
    };
    const req = request({
      host: gateway.host,
      port: gateway.port,
      method,
      path,
      agent,
      headers: {
        host: 'ficu95.example',
        'x-attempt-id': id,
        'x-deadline-milliseconds': timeoutMs,
        'x-key': key,
        ...(body === '' ? {} : {'content-length': Buffer.byteLength(body)}),
        ...headers,
      },
    });
    req.on('error', error => done(error.message));
    req.on('response', res => {
      outcome.status = res.statusCode;
      outcome.headers = res.headers;
      outcome.headAt = Date.now();
      res.setEncoding('utf8');
      res.on('data', chunk => {
        outcome.body += chunk;
      });
      res.on('error', error => done(error.message));
      res.on('end', () => {
        outcome.complete = res.complete;
        done(res.complete ? undefined : 'cut off');
      });
    });
    req.end(body);
  });
}
