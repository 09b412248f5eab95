import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** A TCP relay that can lose track of the connections through it. */
interface Relay {
  readonly port: number;
  /** Makes all open connections silent for good; new ones work. */
  readonly silence: () => void;
  /** Refuses new connections and makes open ones silent while true. */
  readonly cut: (isCut: boolean) => void;
  /** Loses all bytes towards the caller while true, and those lost stay so. */
  readonly muteAnswers: (isMute: boolean) => void;
  /** Holds all bytes up for a number of milliseconds. */
  readonly setDelay: (delayMs: number) => void;
  /** Resets all open connections; new ones work. */
  readonly reset: () => void;
  readonly close: () => Promise<void>;
}

interface Pair {
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
  const pairs = new Set<Pair>();
  let isCut = false;
  let isMute = false;
  let delay = 0;
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
    const toServer = createPipe(server, () => delay);
    const toClient = createPipe(client, () => delay);
    client.on('data', toServer);
    server.on('data', chunk => {
      if (isMute) silencePair(pair);
      else toClient(chunk);
    });
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
    muteAnswers: value => {
      isMute = value;
    },
    setDelay: delayMs => {
      delay = delayMs;
    },
    reset: () =>
      pairs.forEach(({client, server}) => {
        client.resetAndDestroy();
        server.resetAndDestroy();
      }),
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
