import type {AddressInfo, Server} from 'node:net';
import {Effect} from 'effect';
import {reportDefect} from './report_defect.js';

/**
 * Listens on an address and returns the port; port 0 chooses a free one. Fails
 * if the address is not available; the same server may then try again. Later
 * errors of the server are only reported.
 */
export function listenOn(
  server: Server,
  host: string,
  port: number,
): Effect.Effect<number, Error> {
  return Effect.callback<number, Error>(resume => {
    const onError = (error: Error) => {
      server.off('listening', onListening);
      resume(Effect.fail(error));
    };
    const onListening = () => {
      server.off('error', onError);
      server.on('error', reportDefect);
      const address = server.address() as AddressInfo;
      resume(Effect.succeed(address.port));
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(port, host);
  });
}
