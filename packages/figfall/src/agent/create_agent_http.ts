import {createServer} from 'node:http';
import type {ServerResponse} from 'node:http';
import {listenOn} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';

interface AgentHttpOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly isReady: () => boolean;
  /** Returns all metrics in the Prometheus text format. */
  readonly metrics: () => Promise<string>;
}

interface AgentHttp {
  readonly port: number;
}

type Route = (res: ServerResponse, options: AgentHttpOptions) => Promise<void>;

function sendText(res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, {'content-type': 'text/plain; version=0.0.4'});
  res.end(text);
}

const ROUTES: Readonly<Record<string, Route | undefined>> = {
  '/healthz': async res => sendText(res, 200, 'ok\n'),
  '/readyz': async (res, {isReady}) =>
    isReady() ? sendText(res, 200, 'ready\n') : sendText(res, 503, 'no\n'),
  '/metrics': async (res, {metrics}) => sendText(res, 200, await metrics()),
};

/**
 * Serves an agent's liveness, readiness and metrics over HTTP until the scope
 * is closed. Fails if the address can't be bound.
 */
export function createAgentHttp(
  options: AgentHttpOptions,
): Effect.Effect<AgentHttp, Error, Scope.Scope> {
  const server = createServer((req, res) => {
    const url = req.url ?? '';
    const route = Object.hasOwn(ROUTES, url) ? ROUTES[url] : undefined;
    if (!route) return sendText(res, 404, 'not found\n');
    route(res, options).catch(() => res.destroy());
  });
  const {host, port} = options;
  const listen = Effect.map(listenOn(server, host, port), bound => ({
    port: bound,
  }));
  const stop = Effect.sync(() => {
    server.close();
    server.closeAllConnections();
  });
  return Effect.acquireRelease(listen, () => stop);
}
