import type {IncomingMessage, ServerResponse} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createCompletionSink} from '../answers/create_completion_sink.js';
import {sendFailure} from '../answers/send_failure.js';
import {CALLER} from '../constants.js';
import type {RequestMetadata} from '../requests/request_metadata.js';
import type {CompletionRequest} from '../requests/completion_request.js';
import {parseCompletion} from '../requests/parse_completion.js';
import {readBoundedBody} from '../requests/read_bounded_body.js';
import {readMetadata} from '../requests/read_metadata.js';
import {readKey} from '../requests/read_key.js';
import type {CallerServerOptions} from './caller_server_options.js';

type Route = (
  req: IncomingMessage,
  res: ServerResponse,
  options: CallerServerOptions,
) => Promise<void>;

interface Admitted {
  readonly metadata: RequestMetadata;
  readonly body: Buffer;
}

const SERVICE_PATH = /^\/v1\/services\/([^/?]+)(\/[^]*)?$/;

async function admit(
  req: IncomingMessage,
  options: CallerServerOptions,
): Promise<Result<Admitted, Failure>> {
  const metadata = readMetadata(req.headers).andThen(known => {
    const failure = options.handler.checkAccess(known);
    return failure ? err(failure) : ok(known);
  });
  if (metadata.isErr()) return err(metadata.error);
  const body = await readBoundedBody(req, {
    bytesMax: options.bodyBytesMax ?? CALLER.BODY_BYTES_MAX,
    timeoutMs: options.bodyTimeoutMs ?? CALLER.BODY_TIMEOUT_MS,
  });
  return body.map(bytes => ({metadata: metadata.value, body: bytes}));
}

function completionRoute(kind: CompletionRequest['kind']): Route {
  return async (req, res, options) => {
    const admitted = await admit(req, options);
    const parsed = admitted.andThen(({metadata, body}) =>
      parseCompletion(kind, metadata, body),
    );
    if (parsed.isErr()) return sendFailure(res, parsed.error);
    options.handler.complete(
      parsed.value,
      createCompletionSink(res, parsed.value),
    );
  };
}

const serviceRoute: Route = async (req, res, options) => {
  const [, service, path = '/'] = SERVICE_PATH.exec(req.url ?? '') ?? [];
  const admitted = await admit(req, options);
  if (admitted.isErr()) return sendFailure(res, admitted.error);
  const key = readKey(req.headers);
  if (key.isErr()) return sendFailure(res, key.error);
  const request = {
    ...admitted.value,
    service,
    method: req.method ?? 'GET',
    path,
    contentType: req.headers['content-type'] ?? 'application/octet-stream',
    idempotencyKey: key.value,
  };
  const answer = await options.handler.callService(request, listener =>
    res.on('close', () => {
      if (!res.writableEnded) listener();
    }),
  );
  if (answer.isErr()) return sendFailure(res, answer.error);
  const {status, contentType, body} = answer.value;
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
      `There is no ${req.method} ${req.url}. See the README for the paths that there are.`,
    ),
  );

/** Finds the route of a request. */
export function callerRoutes(req: IncomingMessage): Route {
  const [path] = (req.url ?? '/').split('?');
  if (SERVICE_PATH.test(req.url ?? '')) return serviceRoute;
  const name = `${req.method} ${path}`;
  return (Object.hasOwn(ROUTES, name) && ROUTES[name]) || notFoundRoute;
}
