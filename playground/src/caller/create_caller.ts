import {exchange, openExchange, readEvents} from '@figfall/http-client';
import {demoToken} from '../deployment/demo_token.js';
import type {CallerResponse} from './caller_response.js';

interface CompletionOptions {
  readonly prompt: string;
  readonly maxTokens?: number;
  /** Deadline sent with the request, in milliseconds. @default 60,000 */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Called for each token, with the number of tokens received. */
  readonly onToken?: (count: number) => void;
}

interface BookingOptions {
  /** Idempotency key. */
  readonly key: string;
  readonly body: string;
  /** Creation time of the key, in milliseconds since the epoch. @default now */
  readonly createdAt?: number;
  /** Deadline sent with the request, in milliseconds. @default 60,000 */
  readonly timeoutMs?: number;
}

interface ErrorBody {
  readonly error?: {
    readonly kind: string;
    readonly ran: string;
    readonly message: string;
    readonly retry_after_ms?: number;
  };
}

/** Time without data after which an exchange fails. */
const IDLE_TIMEOUT_MS = 120_000;

/** Default deadline that the caller sends with a request. */
const DEFAULT_DEADLINE_MS = 60_000;

function parseErrorFields(text: string): Partial<CallerResponse> {
  try {
    const {error} = JSON.parse(text) as ErrorBody;
    if (!error) return {};
    const {kind, ran, message, retry_after_ms: retryAfterMs} = error;
    return {errorKind: kind, ran, message, retryAfterMs};
  } catch {
    return {};
  }
}

/**
 * Creates a client of one workspace, for tests, demos and load. Connection
 * errors are reported in the response, not thrown.
 */
export function createCaller(baseUrl: () => string, workspace: string) {
  const headers = (timeoutMs = DEFAULT_DEADLINE_MS) => ({
    authorization: `Bearer ${demoToken(workspace)}`,
    'x-figfall-workspace': workspace,
    'x-figfall-timeout-ms': String(timeoutMs),
    'content-type': 'application/json',
  });

  const complete = async (
    options: CompletionOptions,
  ): Promise<CallerResponse> => {
    const startedAt = performance.now();
    const exchangeResult = await openExchange({
      method: 'POST',
      baseUrl: baseUrl(),
      path: '/v1/completions',
      headers: headers(options.timeoutMs),
      body: JSON.stringify({
        model: 'log-summary',
        prompt: options.prompt,
        max_tokens: options.maxTokens ?? 16,
        stream: true,
      }),
      timeoutMs: IDLE_TIMEOUT_MS,
      signal: options.signal,
    });
    const elapsedMs = () => performance.now() - startedAt;
    const emptyResponse = {text: '', tokens: 0, complete: false};
    if (exchangeResult.isErr()) {
      const {message} = exchangeResult.error;
      return {status: 0, ...emptyResponse, message, totalMs: elapsedMs()};
    }
    const res = exchangeResult.value;
    const status = res.statusCode ?? 0;
    if (status !== 200) {
      let text = '';
      for await (const chunk of res) text += String(chunk);
      return {
        status,
        ...emptyResponse,
        ...parseErrorFields(text),
        totalMs: elapsedMs(),
      };
    }
    const texts: string[] = [];
    let errorFields: Partial<CallerResponse> = {};
    let isComplete = false;
    let firstTokenMs: number | undefined;
    let lastTokenAtMs = 0;
    let maxGapMs = 0;
    try {
      for await (const data of readEvents(res)) {
        if (data === '[DONE]') {
          isComplete = true;
          break;
        }
        const chunk = JSON.parse(data) as ErrorBody & {
          readonly choices?: readonly {readonly text?: string}[];
        };
        if (chunk.error) errorFields = parseErrorFields(data);
        const text = chunk.choices?.[0]?.text;
        if (text === undefined) continue;
        texts.push(text);
        const tokenAtMs = elapsedMs();
        if (firstTokenMs === undefined) firstTokenMs = tokenAtMs;
        else maxGapMs = Math.max(maxGapMs, tokenAtMs - lastTokenAtMs);
        lastTokenAtMs = tokenAtMs;
        options.onToken?.(texts.length);
      }
    } catch (error) {
      errorFields = {message: (error as Error).message};
    }
    return {
      status,
      text: texts.join(''),
      tokens: texts.length,
      complete: isComplete,
      firstTokenMs,
      maxGapMs,
      totalMs: elapsedMs(),
      ...errorFields,
    };
  };

  const book = async (options: BookingOptions): Promise<CallerResponse> => {
    const startedAt = performance.now();
    const res = await exchange({
      method: 'POST',
      baseUrl: baseUrl(),
      path: '/v1/services/booking/dosing',
      headers: {
        ...headers(options.timeoutMs),
        'idempotency-key': options.key,
        'idempotency-key-created': String(options.createdAt ?? Date.now()),
      },
      body: options.body,
      timeoutMs: IDLE_TIMEOUT_MS,
    });
    const totalMs = performance.now() - startedAt;
    const emptyResponse = {tokens: 0, totalMs};
    if (res.isErr()) {
      const {message} = res.error;
      return {status: 0, text: '', complete: false, message, ...emptyResponse};
    }
    const {status, body} = res.value;
    const text = body.toString();
    const complete = status < 300;
    return {
      status,
      text,
      complete,
      ...emptyResponse,
      ...parseErrorFields(text),
    };
  };

  return {complete, book};
}
