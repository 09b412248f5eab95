import {createServer} from 'node:http';
import {createFailure} from '@figfall/decisions';
import {listenOn} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {sendFailure} from '../answers/send_failure.js';
import type {CallerServerOptions} from './caller_server_options.js';
import {callerRoutes} from './caller_routes.js';

/** The listening HTTP server for callers. */
interface CallerServer {
  readonly port: number;
  /** Takes no more connections; open requests go on. */
  readonly stopListening: () => void;
}

/** Serves callers over HTTP until the scope is closed. */
export function createCallerServer(
  options: CallerServerOptions,
): Effect.Effect<CallerServer, Error, Scope.Scope> {
  const server = createServer((req, res) => {
    callerRoutes(req)(req, res, options).catch((error: Error) => {
      if (res.headersSent) res.destroy();
      else sendFailure(res, createFailure('internal-error', error.message));
    });
  });
  const stopListening = () => {
    server.close();
    server.closeIdleConnections();
  };
  const {host, port} = options;
  const listen = Effect.map(listenOn(server, host, port), bound => ({
    port: bound,
    stopListening,
  }));
  const stop = Effect.sync(() => {
    server.close();
    server.closeAllConnections();
  });
  return Effect.acquireRelease(listen, () => stop);
}
