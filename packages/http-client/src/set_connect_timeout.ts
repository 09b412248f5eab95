import type {ClientRequest} from 'node:http';

/**
 * Calls `onTimeout` if a request has no connection after `timeoutMs`
 * milliseconds. `req.setTimeout` doesn't cover this, because it starts only
 * once the connection is established. A connection that was established during
 * a pause of the event loop is in time.
 */
export function setConnectTimeout(
  req: ClientRequest,
  timeoutMs: number,
  onTimeout: () => void,
): void {
  let afterPoll: NodeJS.Immediate | undefined;
  // Timers run before the poll that tells of connections.
  const timer = setTimeout(() => {
    afterPoll = setImmediate(onTimeout);
  }, timeoutMs);
  const stop = () => {
    clearTimeout(timer);
    clearImmediate(afterPoll);
  };
  req.on('socket', socket => {
    if (socket.connecting) socket.once('connect', stop);
    else stop();
  });
  req.on('close', stop);
}
