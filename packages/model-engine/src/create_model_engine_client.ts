import type {IncomingMessage} from 'node:http';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {exchange, openExchange, readEvents} from '@figfall/http-client';
import type {HttpFailure, HttpRequest} from '@figfall/http-client';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {EngineEvent} from './engine_event.js';
import type {EngineLoad} from './engine_load.js';
import type {GenerateRequest} from './generate_request.js';
import type {ModelEngineClient} from './model_engine_client.js';
import {readChunk} from './read_chunk.js';
import {spliceBody} from './splice_body.js';

interface ModelEngineOptions {
  /** Base URL of the engine. */
  readonly baseUrl: string;
  /** Milliseconds within which a short call must be answered. */
  readonly timeoutMs: number;
  /** Milliseconds of silence after which a stream is given up. */
  readonly streamTimeoutMs: number;
}

const STREAM_END = '[DONE]';

const PATHS = {
  completion: '/v1/completions',
  chat: '/v1/chat/completions',
} as const;

function lost(message: string): EngineEvent {
  const failure = createFailure(
    'backend-lost',
    `The connection to the model engine broke: ${message}`,
  );
  return {type: 'failed', failure, connectionLost: true};
}

function notStarted(failure: HttpFailure): EngineEvent {
  const event = lost(failure.message);
  if (failure.type !== 'not-sent' || event.type !== 'failed') return event;
  return {...event, failure: {...event.failure, ran: 'no'}};
}

function rejected(message: string): EngineEvent {
  const failure = createFailure(
    'backend-error',
    `The model engine refused: ${message}`,
    {ran: 'no'},
  );
  return {type: 'failed', failure, connectionLost: false};
}

async function* readStream(res: IncomingMessage): AsyncGenerator<EngineEvent> {
  let count: number | undefined;
  for await (const data of readEvents(res)) {
    if (data === STREAM_END && count !== undefined) {
      yield {type: 'end', count};
      return;
    }
    const meaning = readChunk(data);
    if (meaning.type === 'usage') count = meaning.count;
    if (meaning.type === 'token') yield meaning;
    if (meaning.type === 'error') {
      const failure = createFailure('backend-error', meaning.message);
      yield {type: 'failed', failure, connectionLost: false};
      return;
    }
  }
  yield lost('the stream ended before its end marker.');
}

function generateBody(req: GenerateRequest): Buffer {
  return spliceBody(req.body, {
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

function failureOf(error: HttpFailure): Failure {
  const ran = error.type === 'not-sent' ? 'no' : 'unknown';
  return createFailure('backend-lost', error.message, {ran});
}

/** Creates a client of an engine with an OpenAI-style interface. */
export function createModelEngineClient(
  options: ModelEngineOptions,
): ModelEngineClient {
  const {baseUrl} = options;

  async function* generate(req: GenerateRequest): AsyncGenerator<EngineEvent> {
    const opened = await openExchange({
      method: 'POST',
      baseUrl,
      path: PATHS[req.kind],
      headers: {
        'content-type': 'application/json',
        ...(req.traceparent ? {traceparent: req.traceparent} : {}),
      },
      body: generateBody(req),
      timeoutMs: options.streamTimeoutMs,
      signal: req.signal,
    });
    if (opened.isErr()) return yield notStarted(opened.error);
    const res = opened.value;
    if (res.statusCode !== 200) {
      res.resume();
      return yield rejected(`status ${res.statusCode}`);
    }
    try {
      yield* readStream(res);
    } catch (error) {
      yield lost((error as Error).message);
    } finally {
      res.destroy();
    }
  }

  const call = async <Value>(
    request: Omit<HttpRequest, 'baseUrl' | 'timeoutMs'> & {
      readonly timeoutMs?: number;
    },
  ): Promise<Result<Value, Failure>> => {
    const answer = await exchange({
      timeoutMs: options.timeoutMs,
      ...request,
      baseUrl,
    });
    if (answer.isErr()) return err(failureOf(answer.error));
    const {status, body} = answer.value;
    if (status >= 300) {
      const message = `The model engine answered ${status}: ${body.toString()}`;
      return err(createFailure('backend-error', message, {ran: 'no'}));
    }
    return ok(JSON.parse(body.toString() || '{}') as Value);
  };

  return {
    generate,
    prefillSegment: async ({signal, ...req}) => {
      const answer = await call<{handle: string}>({
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
      return answer.map(({handle}) => handle);
    },
    cancel: requestId =>
      call<void>({
        method: 'POST',
        path: '/v1/cancel',
        body: JSON.stringify({request_id: requestId}),
      }),
    fetchLoad: () => call<EngineLoad>({method: 'GET', path: '/v1/load'}),
    sendOrder: order =>
      call<void>({
        method: 'POST',
        path: '/v1/orders',
        timeoutMs: options.streamTimeoutMs,
        body: JSON.stringify(order),
      }),
  };
}
