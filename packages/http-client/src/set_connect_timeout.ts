import type {ClientRequest} from 'node:http';

/**
 * Calls `onUnconnected` where a request has no connection after `connectMs`
 * milliseconds. The request's own timeout starts only once it has one.
 */
export function setConnectTimeout(
  req: ClientRequest,
  connectMs: number,
  onUnconnected: () => void,
): void {
  const timer = setTimeout(onUnconnected, connectMs);
  const stop = () => clearTimeout(timer);
  req.on('socket', socket => {
    if (socket.connecting) socket.once('connect', stop);
    else stop();
  });
  req.on('close', stop);
}
