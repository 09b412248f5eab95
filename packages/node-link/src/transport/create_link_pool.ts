import {connect as connectTcp} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {monotonicNow, repeatEvery} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {LINK} from '../constants.js';
import {createLink} from './create_link.js';
import type {Link} from './link.js';
import type {LinkEvent} from './link_event.js';
import type {LinkOptions} from './link_options.js';
import {reconnectDelayMs} from './reconnect_delay_ms.js';

/** Id and link address of a peer. */
interface PeerAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

interface LinkPool {
  /** Replaces the set of peers; links to removed or moved peers are closed. */
  readonly setPeers: (peers: readonly PeerAddress[]) => void;
}

interface LinkPoolOptions extends LinkOptions {
  readonly onEvent: (event: LinkEvent) => void;
  /** Random number in [0, 1) for the jitter of reconnect delays. */
  readonly random: () => number;
}

interface PeerConnection {
  address: PeerAddress;
  link?: Link;
  consecutiveFailures: number;
  nextConnectAt: number;
}

function isSameAddress(a: PeerAddress, b: PeerAddress): boolean {
  return a.host === b.host && a.port === b.port;
}

function openSocket(address: PeerAddress, options: LinkPoolOptions) {
  const {host, port} = address;
  if (!options.tls) return connectTcp({host, port});
  return connectTls({
    ...options.tls,
    host,
    port,
    checkServerIdentity: () => undefined,
  });
}

/** Maintains one link to each peer and reconnects with backoff. */
export function createLinkPool(
  options: LinkPoolOptions,
): Effect.Effect<LinkPool, never, Scope.Scope> {
  const connections = new Map<string, PeerConnection>();

  const onEvent = (connection: PeerConnection, event: LinkEvent): void => {
    if (event.type === 'link-up') connection.consecutiveFailures = 0;
    if (event.type === 'link-down') {
      connection.link = undefined;
      connection.consecutiveFailures += 1;
      const delayMs = reconnectDelayMs(
        connection.consecutiveFailures,
        options.random,
      );
      connection.nextConnectAt = monotonicNow() + delayMs;
    }
    options.onEvent(event);
  };

  const connect = (connection: PeerConnection): void => {
    const socket = openSocket(connection.address, options);
    connection.link = createLink(socket, options, event =>
      onEvent(connection, event),
    );
  };

  const tick = (): void => {
    const now = monotonicNow();
    [...connections.values()].forEach(connection => {
      if (connection.link) return connection.link.tick();
      if (connection.nextConnectAt <= now) connect(connection);
    });
  };

  const remove = (id: string, connection: PeerConnection): void => {
    connections.delete(id);
    connection.link?.close('the peer is no longer needed');
  };

  const setPeers = (peers: readonly PeerAddress[]): void => {
    const wanted = new Map(peers.map(peer => [peer.id, peer]));
    [...connections]
      .filter(([id]) => !wanted.has(id))
      .forEach(([id, connection]) => remove(id, connection));
    peers.forEach(address => {
      const connection = connections.get(address.id);
      if (connection && isSameAddress(connection.address, address)) return;
      if (connection) remove(address.id, connection);
      connections.set(address.id, {
        address,
        consecutiveFailures: 0,
        nextConnectAt: 0,
      });
    });
    tick();
  };

  return Effect.gen(function* () {
    yield* repeatEvery(LINK.TIMER_INTERVAL_MS, tick);
    yield* Effect.addFinalizer(() => Effect.sync(() => setPeers([])));
    return {setPeers};
  });
}
