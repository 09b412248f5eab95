import {createServer as createTcpServer} from 'node:net';
import type {Socket} from 'node:net';
import {createServer as createTlsServer} from 'node:tls';
import {listenOn, repeatEvery} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {LINK} from '../constants.js';
import {createLink} from './create_link.js';
import type {Link} from './link.js';
import type {LinkEvent} from './link_event.js';
import type {LinkOptions} from './link_options.js';

/** A listening socket and the links accepted on it. */
interface LinkServer {
  readonly port: number;
  readonly links: () => readonly Link[];
}

interface LinkServerOptions extends LinkOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly onEvent: (event: LinkEvent) => void;
}

function createServer(
  options: LinkServerOptions,
  onSocket: (socket: Socket) => void,
) {
  if (!options.tls) return createTcpServer(onSocket);
  const tls = {...options.tls, requestCert: true, rejectUnauthorized: true};
  return createTlsServer(tls, onSocket);
}

/**
 * Accepts links until the scope is closed, which also closes the links. Fails
 * if the address can't be bound.
 */
export function createLinkServer(
  options: LinkServerOptions,
): Effect.Effect<LinkServer, Error, Scope.Scope> {
  const links = new Set<Link>();
  const server = createServer(options, socket => {
    const link = createLink(socket, options, event => {
      if (event.type === 'link-down') links.delete(event.link);
      options.onEvent(event);
    });
    links.add(link);
  });
  const {host, port} = options;
  const listen = Effect.map(listenOn(server, host, port), bound => ({
    port: bound,
    links: () => [...links],
  }));
  const stop = Effect.sync(() => {
    server.close();
    links.forEach(link => link.close('this node is shutting down'));
  });
  return Effect.gen(function* () {
    const listening = yield* Effect.acquireRelease(listen, () => stop);
    yield* repeatEvery(LINK.TIMER_INTERVAL_MS, () =>
      links.forEach(link => link.tick()),
    );
    return listening;
  });
}
