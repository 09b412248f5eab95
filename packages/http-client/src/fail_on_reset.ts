import type {IncomingMessage} from 'node:http';
import {isCloseDelimited} from './is_close_delimited.js';

/**
 * Makes a response fail if its connection is reset, where only the end of the
 * connection marks the end of its body. Node.js reports a reset that arrives
 * together with data as a regular end; only the peer's address is missing then.
 */
export function failOnReset(res: IncomingMessage): void {
  if (!isCloseDelimited(res)) return;
  const {socket} = res;
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress !== undefined || res.complete) return;
    res.destroy(new Error('The connection was reset.'));
  });
}
