import type {ServerResponse} from 'node:http';
import {whenClosed} from './when_closed.js';

/**
 * Calls a listener once if the caller ends its connection before its response
 * has been handed over, and drops what is left of the response. A half-closed
 * connection counts as ended: Node.js closes it too, but only once what was
 * written before has been read. A caller that has left already counts, too.
 */
export function whenCallerLeaves(
  res: ServerResponse,
  listener: () => void,
): void {
  const {socket} = res.req;
  let hasLeft = false;
  const onLeft = (): void => {
    if (hasLeft || res.writableEnded) return;
    hasLeft = true;
    listener();
    if (res.headersSent) res.destroy();
  };
  if (socket.destroyed || socket.readableEnded) queueMicrotask(onLeft);
  socket.once('end', onLeft);
  whenClosed(res, () => {
    socket.off('end', onLeft);
    onLeft();
  });
}
