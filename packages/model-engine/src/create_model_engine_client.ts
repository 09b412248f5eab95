import type {IncomingMessage} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {exchange, openExchange, readEvents} from '@figfall/http-client';
import type {HttpFailure, HttpRequest} from '@figfall/http-client';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {appendJsonFields} from './append_json_fields.js';
import type {EngineEvent} from './engine_event.js';
import type {EngineLoad} from './engine_load.js';
import type {GenerateRequest} from './generate_request.js';
import type {ModelEngineClient} from './model_engine_client.js';
import {parseChunk} from './parse_chunk.js';

interface ModelEngineClientOptions {
  /** Base URL of the engine. */
  readonly baseUrl: string;
  /** Milliseconds without data after which a control request fails. */
  readonly timeoutMs: number;
  /** The same for generation, prefill and orders, which take longer. */
  readonly streamTimeoutMs: number;
}

const STREAM_END_DATA = '[DONE]';

/** Lowest status of an error of the engine's own. */
const SERVER_ERROR_STATUS = 500;

const GENERATE_PATHS = {
  completion: '/v1/completions',
  chat: '/v1/chat/completions',
} as const;

function connectionLost(message: string): EngineEvent {
  const failure = createFailure(
    'backend-lost',
    `The connection to the model engine was lost: ${message}`,
  );
  return {type: 'failed', failure, connectionLost: true};
}

/** A request that was not sent has certainly not run. */
function requestFailed(failure: HttpFailure): EngineEvent {
  const event = connectionLost(failure.message);
  if (failure.type !== 'not-sent' || event.type !== 'failed') return event;
  return {...event, failure: {...event.failure, ran: 'no'}};
}

/** An engine that reports an error of its own may have run the request. */
function ranBefore(status: number): Failure['ran'] {
  return status >= SERVER_ERROR_STATUS ? 'unknown' : 'no';
}

function rejected(status: number): EngineEvent {
  const failure = createFailure(
    'backend-error',
    `The model engine rejected the request: status ${status}`,
    {ran: ranBefore(status)},
  );
  return {type: 'failed', failure, connectionLost: false};
}

async function* readStream(res: IncomingMessage): AsyncGenerator<EngineEvent> {
  let count: number | undefined;
  for await (const data of readEvents(res)) {
    if (data === STREAM_END_DATA && count !== undefined) {
      yield {type: 'end', count};
      return;
    }
    const chunk = parseChunk(data);
    if (chunk.type === 'usage') count = chunk.count;
    if (chunk.type === 'token') yield chunk;
    if (chunk.type === 'error') {
      const failure = createFailure('backend-error', chunk.message);
      yield {type: 'failed', failure, connectionLost: false};
      return;
    }
  }
  yield connectionLost('the stream ended without an end marker.');
}

function buildGenerateBody(req: GenerateRequest): Buffer {
  return appendJsonFields(req.body, {
    model: req.model,
    stream: true,
    request_id: req.requestId,
    priority: req.priority,
    resume:
      req.resumeIndex > 0
        ? {index: req.resumeIndex, text: req.resumeText ?? ''}
        : undefined,
    kv_import: req.kvCacheHandle,
  });
}

function toFailure(error: HttpFailure): Failure {
  const ran = error.type === 'not-sent' ? 'no' : 'unknown';
  return createFailure('backend-lost', error.message, {ran});
}

/** Creates a client of a model engine with an OpenAI-style HTTP API. */
export function createModelEngineClient(
  options: ModelEngineClientOptions,
): ModelEngineClient {
  const {baseUrl} = options;

  async function* generate(req: GenerateRequest): AsyncGenerator<EngineEvent> {
    const opened = await openExchange({
      method: 'POST',
      baseUrl,
      path: GENERATE_PATHS[req.kind],
      headers: {
        'content-type': 'application/json',
        ...(req.traceparent ? {traceparent: req.traceparent} : {}),
      },
      body: buildGenerateBody(req),
      timeoutMs: options.streamTimeoutMs,
      signal: req.signal,
    });
    if (opened.isErr()) return yield requestFailed(opened.error);
    const res = opened.value;
    if (res.statusCode !== 200) {
      res.resume();
      return yield rejected(res.statusCode ?? 0);
    }
    try {
      yield* readStream(res);
    } catch (error) {
      yield connectionLost((error as Error).message);
    } finally {
      res.destroy();
    }
  }

  const sendRequest = async <Value>(
    request: Omit<HttpRequest, 'baseUrl' | 'timeoutMs'> & {
      readonly timeoutMs?: number;
    },
  ): Promise<Result<Value, Failure>> => {
    const response = await exchange({
      timeoutMs: options.timeoutMs,
      ...request,
      baseUrl,
    });
    if (response.isErr()) return err(toFailure(response.error));
    const {status, body} = response.value;
    if (status >= 300) {
      const message = `The model engine responded with status ${status}: ${body.toString()}`;
      const ran = ranBefore(status);
      return err(createFailure('backend-error', message, {ran}));
    }
    return ok(JSON.parse(body.toString() || '{}') as Value);
  };

  return {
    generate,
    prefillSegment: async ({signal, ...req}) => {
      const prefilled = await sendRequest<{handle: string}>({
        method: 'POST',
        path: '/v1/kv/prefill',
        timeoutMs: options.streamTimeoutMs,
        signal,
        body: JSON.stringify({
          request_id: req.requestId,
          model: req.model,
          text: req.text,
          priority: req.priority,
          kv_import: req.kvCacheHandle,
        }),
      });
      return prefilled.map(({handle}) => handle);
    },
    cancel: requestId =>
      sendRequest<void>({
        method: 'POST',
        path: '/v1/cancel',
        body: JSON.stringify({request_id: requestId}),
      }),
    fetchLoad: () => sendRequest<EngineLoad>({method: 'GET', path: '/v1/load'}),
    sendOrder: order =>
      sendRequest<void>({
        method: 'POST',
        path: '/v1/orders',
        timeoutMs: options.streamTimeoutMs,
        body: JSON.stringify(order),
      }),
  };
}
