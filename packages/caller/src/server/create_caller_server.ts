import {createServer} from 'node:http';
import {createFailure} from '@figfall/decisions';
import {ReadFirstQueue, listenOn} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {sendFailure} from '../responses/send_failure.js';
import type {CallerServerOptions} from './caller_server_options.js';
import {findRoute} from './find_route.js';

/** The HTTP server for callers, already listening. */
interface CallerServer {
  readonly port: number;
  /** Closes the listening socket and idle connections; requests continue. */
  readonly stopListening: () => void;
}

/**
 * Serves callers over HTTP until the scope is closed, which also closes all
 * connections. Fails if the address is not available.
 */
export function createCallerServer(
  options: CallerServerOptions,
): Effect.Effect<CallerServer, Error, Scope.Scope> {
  const readFirst = new ReadFirstQueue();
  const server = createServer((req, res) => {
    findRoute(req)(req, res, {...options, readFirst}).catch((error: Error) => {
      if (res.headersSent) res.destroy();
      else sendFailure(res, createFailure('internal-error', error.message));
    });
  });
  const stopListening = () => {
    server.close();
    server.closeIdleConnections();
  };
  const {host, port} = options;
  const listen = Effect.map(listenOn(server, host, port), boundPort => ({
    port: boundPort,
    stopListening,
  }));
  const stop = Effect.sync(() => {
    server.close();
    server.closeAllConnections();
  });
  return Effect.acquireRelease(listen, () => stop);
}
