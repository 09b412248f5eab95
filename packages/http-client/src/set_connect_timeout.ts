import type {ClientRequest} from 'node:http';

/**
 * Calls `onTimeout` if a request has no connection after `timeoutMs`
 * milliseconds. `req.setTimeout` doesn't cover this, because it starts only
 * once the connection is established.
 */
export function setConnectTimeout(
  req: ClientRequest,
  timeoutMs: number,
  onTimeout: () => void,
): void {
  const timer = setTimeout(onTimeout, timeoutMs);
  const stop = () => clearTimeout(timer);
  req.on('socket', socket => {
    if (socket.connecting) socket.once('connect', stop);
    else stop();
  });
  req.on('close', stop);
}
