import type {ServerResponse} from 'node:http';

/** Calls a listener once a response has been sent or its connection is gone. */
export function whenClosed(res: ServerResponse, listener: () => void): void {
  const {socket} = res.req;
  let isClosed = false;
  const onClose = () => {
    socket.off('close', onClose);
    if (isClosed) return;
    isClosed = true;
    listener();
  };
  res.on('close', onClose);
  // A response that waits behind another one emits no `close` with its socket.
  socket.on('close', onClose);
}
