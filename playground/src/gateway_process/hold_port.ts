import {once} from 'node:events';
import {createServer} from 'node:net';

/** Takes a port, as another process would; returns what frees it. */
export async function holdPort(
  host: string,
  port: number,
): Promise<() => Promise<void>> {
  const server = createServer(socket => socket.destroy());
  server.listen(port, host);
  await once(server, 'listening');
  return async () => {
    server.close();
    await once(server, 'close');
  };
}
