import type {IncomingMessage, ServerResponse} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {whenCallerLeaves} from '@figfall/http-client';
import type {ReadFirstQueue} from '@figfall/task';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {CALLER_API} from '../constants.js';
import type {CompletionRequest} from '../requests/completion_request.js';
import {parseCompletion} from '../requests/parse_completion.js';
import {hasCallerLeft} from '../requests/has_caller_left.js';
import {readBoundedBody} from '../requests/read_bounded_body.js';
import {readIdempotencyKey} from '../requests/read_idempotency_key.js';
import {readMetadata} from '../requests/read_metadata.js';
import type {RequestMetadata} from '../requests/request_metadata.js';
import {createCompletionSink} from '../responses/create_completion_sink.js';
import {sendFailure} from '../responses/send_failure.js';
import type {CallerServerOptions} from './caller_server_options.js';

type Route = (
  req: IncomingMessage,
  res: ServerResponse,
  options: RouteOptions,
) => Promise<void>;

interface RouteOptions extends CallerServerOptions {
  /** Starts requests. */
  readonly readFirst: ReadFirstQueue;
}

/** The metadata and the body of a request whose caller has access. */
interface AuthorizedRequest {
  readonly metadata: RequestMetadata;
  readonly body: Buffer;
}

const SERVICE_PATH = /^\/v1\/services\/([^/?]+)(\/[^]*)?$/;

async function authorize(
  req: IncomingMessage,
  options: RouteOptions,
): Promise<Result<AuthorizedRequest, Failure>> {
  const metadata = readMetadata(req.headers).andThen(value => {
    const failure = options.handler.checkAccess(value);
    return failure ? err(failure) : ok(value);
  });
  if (metadata.isErr()) return err(metadata.error);
  const body = await readBoundedBody(req, {
    maxBytes: options.maxBodyBytes ?? CALLER_API.MAX_BODY_BYTES,
    timeoutMs: options.bodyTimeoutMs ?? CALLER_API.BODY_TIMEOUT_MS,
  });
  return body.map(bytes => ({metadata: metadata.value, body: bytes}));
}

function completionRoute(kind: CompletionRequest['kind']): Route {
  return async (req, res, options) => {
    const authorized = await authorize(req, options);
    const parsed = authorized.andThen(({metadata, body}) =>
      parseCompletion(kind, metadata, body),
    );
    if (parsed.isErr()) return sendFailure(res, parsed.error);
    if (await hasCallerLeft(res, options.readFirst)) return;
    options.handler.complete(
      parsed.value,
      createCompletionSink(res, parsed.value),
    );
  };
}

const serviceRoute: Route = async (req, res, options) => {
  const [, service, path = '/'] = SERVICE_PATH.exec(req.url ?? '') ?? [];
  const authorized = await authorize(req, options);
  if (authorized.isErr()) return sendFailure(res, authorized.error);
  const key = readIdempotencyKey(req.headers);
  if (key.isErr()) return sendFailure(res, key.error);
  if (await hasCallerLeft(res, options.readFirst)) return;
  const request = {
    ...authorized.value,
    service,
    method: req.method ?? 'GET',
    path,
    contentType: req.headers['content-type'] ?? 'application/octet-stream',
    idempotencyKey: key.value,
  };
  const response = await options.handler.callService(request, listener =>
    whenCallerLeaves(res, listener),
  );
  if (response.isErr()) return sendFailure(res, response.error);
  const {status, contentType, body} = response.value;
  res.writeHead(status, {'content-type': contentType});
  res.end(body);
};

const modelsRoute: Route = async (req, res, {handler}) => {
  const metadata = readMetadata(req.headers);
  if (metadata.isErr()) return sendFailure(res, metadata.error);
  const failure = handler.checkAccess(metadata.value);
  if (failure) return sendFailure(res, failure);
  const data = handler
    .models(metadata.value.workspace)
    .map(id => ({id, object: 'model'}));
  res.writeHead(200, {'content-type': 'application/json'});
  res.end(JSON.stringify({object: 'list', data}));
};

const readyRoute: Route = async (_req, res, {handler}) => {
  const isReady = handler.isReady();
  res.writeHead(isReady ? 200 : 503, {'content-type': 'text/plain'});
  res.end(isReady ? 'ready\n' : 'not ready\n');
};

const metricsRoute: Route = async (_req, res, {handler}) => {
  const text = await handler.metrics();
  res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
  res.end(text);
};

const healthRoute: Route = async (_req, res) => {
  res.writeHead(200, {'content-type': 'text/plain'});
  res.end('ok\n');
};

const ROUTES: Readonly<Record<string, Route | undefined>> = {
  'POST /v1/completions': completionRoute('completion'),
  'POST /v1/chat/completions': completionRoute('chat'),
  'GET /v1/models': modelsRoute,
  'GET /healthz': healthRoute,
  'GET /readyz': readyRoute,
  'GET /metrics': metricsRoute,
};

const notFoundRoute: Route = async (req, res) =>
  sendFailure(
    res,
    createFailure(
      'not-found',
      `There is no endpoint ${req.method} ${req.url}. See the README for the endpoints.`,
    ),
  );

/** Finds the route of a request; unknown paths get a route that fails. */
export function findRoute(req: IncomingMessage): Route {
  const [path] = (req.url ?? '/').split('?');
  if (SERVICE_PATH.test(req.url ?? '')) return serviceRoute;
  const name = `${req.method} ${path}`;
  return (Object.hasOwn(ROUTES, name) && ROUTES[name]) || notFoundRoute;
}
