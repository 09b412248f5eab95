import type {AddressInfo, Server} from 'node:net';
import {Effect} from 'effect';

/**
 * Listens on an address and returns the port; port 0 chooses a free one. Fails
 * if the address is not available.
 */
export function listenOn(
  server: Server,
  host: string,
  port: number,
): Effect.Effect<number, Error> {
  return Effect.callback<number, Error>(resume => {
    server.once('error', error => resume(Effect.fail(error)));
    server.listen(port, host, () => {
      const address = server.address() as AddressInfo;
      resume(Effect.succeed(address.port));
    });
  });
}
