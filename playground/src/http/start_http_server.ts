import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** HTTP server of a fake. */
interface FakeHttpServer {
  readonly port: number;
  /** URL without a trailing slash. */
  readonly baseUrl: string;
  readonly server: Server;
  /** Stops listening and closes all connections. */
  readonly close: () => Promise<void>;
}

/**
 * Starts an HTTP server on a loopback port; 0 chooses a free one. An error of
 * `handle` gets status 500 with the error's message.
 */
export async function startHttpServer(
  handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
  port = 0,
): Promise<FakeHttpServer> {
  const server = createServer((req, res) => {
    handle(req, res).catch((error: Error) => {
      if (!res.headersSent) res.writeHead(500);
      res.end(JSON.stringify({error: {message: error.message}}));
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>(resolve => {
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address() as AddressInfo;
  return {
    port: address.port,
    baseUrl: `http://127.0.0.1:${address.port}`,
    server,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
