import {createServer} from 'node:net';

const RETRY_MS = 5;

interface PortOptions {
  readonly host: string;
  readonly port: number;
}

/**
 * Listens on a port as soon as it is free, and closes all connections at once.
 * Returns a function that frees the port.
 */
export function takePort(options: PortOptions): () => void {
  let isReleased = false;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.destroy();
  });
  const listen = (): void => {
    if (!isReleased) server.listen(options);
  };
  server.on('error', () => setTimeout(listen, RETRY_MS));
  listen();
  return () => {
    isReleased = true;
    server.close();
  };
}
