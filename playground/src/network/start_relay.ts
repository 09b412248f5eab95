import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** A TCP relay that injects network faults into the connections through it. */
interface Relay {
  readonly port: number;
  /**
   * Stops forwarding on all open connections without closing them, for good.
   * New connections work.
   */
  readonly stallConnections: () => void;
  /**
   * While true, closes new connections. Open ones are stalled, and stay stalled
   * afterwards.
   */
  readonly setPartitioned: (isPartitioned: boolean) => void;
  /**
   * While true, drops bytes from the server and stalls their connection for
   * good, in both directions.
   */
  readonly setStallOnResponse: (isStallingOnResponse: boolean) => void;
  /** Delays all bytes by a number of milliseconds, in each direction. */
  readonly setDelay: (delayMs: number) => void;
  /** Resets all open connections; new ones work. */
  readonly resetConnections: () => void;
  readonly close: () => Promise<void>;
}

interface RelayedConnection {
  readonly client: Socket;
  readonly server: Socket;
}

/** Forwards bytes in order, each chunk after the delay set when it arrives. */
function createPipe(
  target: Socket,
  delayMs: () => number,
): (chunk: Buffer) => void {
  let forwardAt = 0;
  return chunk => {
    const now = performance.now();
    forwardAt = Math.max(forwardAt, now + delayMs());
    if (forwardAt <= now) return void target.write(chunk);
    setTimeout(() => {
      if (!target.destroyed) target.write(chunk);
    }, forwardAt - now);
  };
}

/**
 * Starts a relay to a loopback port. `targetPort` is read for each connection,
 * as a restarted target may listen on another port.
 */
export async function startRelay(targetPort: () => number): Promise<Relay> {
  const connections = new Set<RelayedConnection>();
  let isPartitioned = false;
  let isStallingOnResponse = false;
  let currentDelayMs = 0;
  const stallConnection = ({client, server}: RelayedConnection): void => {
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
    const toServer = createPipe(server, () => currentDelayMs);
    const toClient = createPipe(client, () => currentDelayMs);
    client.on('data', toServer);
    server.on('data', chunk => {
      if (isStallingOnResponse) stallConnection(connection);
      else toClient(chunk);
    });
    const closeBoth = () => {
      connections.delete(connection);
      client.destroy();
      server.destroy();
    };
    [client, server].forEach(socket => {
      socket.setNoDelay(true);
      socket.on('error', closeBoth);
      socket.on('close', closeBoth);
    });
  });
  await new Promise<void>(resolve => {
    relay.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (relay.address() as AddressInfo).port,
    stallConnections: () => connections.forEach(stallConnection),
    setPartitioned: value => {
      isPartitioned = value;
      if (isPartitioned) connections.forEach(stallConnection);
    },
    setStallOnResponse: value => {
      isStallingOnResponse = value;
    },
    setDelay: delayMs => {
      currentDelayMs = delayMs;
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
