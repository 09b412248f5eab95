import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** A TCP relay that can lose track of the connections through it. */
interface Relay {
  readonly port: number;
  /** Makes all open connections silent for good; new ones work. */
  readonly silence: () => void;
  /** Refuses new connections and makes open ones silent while true. */
  readonly cut: (isCut: boolean) => void;
  readonly close: () => Promise<void>;
}

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
}

/** Starts a relay to a port on this machine. */
export async function startRelay(targetPort: () => number): Promise<Relay> {
  const pairs = new Set<Pair>();
  let isCut = false;
  const silencePair = ({client, server}: Pair): void => {
    [client, server].forEach(socket => {
      socket.removeAllListeners('data');
      socket.pause();
    });
  };
  const relay = createServer(client => {
    if (isCut) return void client.destroy();
    const server = connect({host: '127.0.0.1', port: targetPort()});
    const pair = {client, server};
    pairs.add(pair);
    client.on('data', chunk => server.write(chunk));
    server.on('data', chunk => client.write(chunk));
    const end = () => {
      pairs.delete(pair);
      client.destroy();
      server.destroy();
    };
    [client, server].forEach(socket => {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    });
  });
  await new Promise<void>(resolve => {
    relay.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (relay.address() as AddressInfo).port,
    silence: () => pairs.forEach(silencePair),
    cut: value => {
      isCut = value;
      if (isCut) pairs.forEach(silencePair);
    },
    close: () =>
      new Promise(resolve => {
        relay.close(() => resolve());
        pairs.forEach(({client, server}) => {
          client.destroy();
          server.destroy();
        });
      }),
  };
}
