import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** A TCP relay that can lose track of the connections through it. */
interface Relay {
  readonly port: number;
  /** Makes all open connections silent for good; new ones work. */
  readonly stallConnections: () => void;
  /** Refuses new connections and makes open ones silent while true. */
  readonly setPartitioned: (isPartitioned: boolean) => void;
  /** Loses all bytes towards the caller while true, and those lost stay so. */
  readonly setStallOnResponse: (isStallingOnResponse: boolean) => void;
  /** Holds all bytes up for a number of milliseconds. */
  readonly setDelay: (delayMs: number) => void;
  /** Resets all open connections; new ones work. */
  readonly resetConnections: () => void;
  readonly close: () => Promise<void>;
}

interface RelayedConnection {
  readonly client: Socket;
  readonly server: Socket;
}

/** Passes bytes on in order, each after the delay of the moment. */
function createPipe(
  target: Socket,
  delayMs: () => number,
): (chunk: Buffer) => void {
  let dueAt = 0;
  return chunk => {
    const now = performance.now();
    dueAt = Math.max(dueAt, now + delayMs());
    if (dueAt <= now) return void target.write(chunk);
    setTimeout(() => {
      if (!target.destroyed) target.write(chunk);
    }, dueAt - now);
  };
}

/** Starts a relay to a port on this machine. */
export async function startRelay(targetPort: () => number): Promise<Relay> {
  const connections = new Set<RelayedConnection>();
  let isPartitioned = false;
  let isStallingOnResponse = false;
  let delay = 0;
  const stall = ({client, server}: RelayedConnection): void => {
    [client, server].forEach(socket => {
      socket.removeAllListeners('data');
      socket.pause();
    });
  };
  const relay = createServer(client => {
    if (isPartitioned) return void client.destroy();
    const server = connect({host: '127.0.0.1', port: targetPort()});
    const connection = {client, server};
    connections.add(connection);
    const toServer = createPipe(server, () => delay);
    const toClient = createPipe(client, () => delay);
    client.on('data', toServer);
    server.on('data', chunk => {
      if (isStallingOnResponse) stall(connection);
      else toClient(chunk);
    });
    const end = () => {
      connections.delete(connection);
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
    stallConnections: () => connections.forEach(stall),
    setPartitioned: value => {
      isPartitioned = value;
      if (isPartitioned) connections.forEach(stall);
    },
    setStallOnResponse: value => {
      isStallingOnResponse = value;
    },
    setDelay: delayMs => {
      delay = delayMs;
    },
    resetConnections: () =>
      connections.forEach(({client, server}) => {
        client.resetAndDestroy();
        server.resetAndDestroy();
      }),
    close: () =>
      new Promise(resolve => {
        relay.close(() => resolve());
        connections.forEach(({client, server}) => {
          client.destroy();
          server.destroy();
        });
      }),
  };
}
