import {exchange, openExchange, readEvents} from '@figfall/http-client';
import {demoToken} from '../deployment/demo_token.js';
import type {CallerResponse} from './caller_response.js';

interface CompletionOptions {
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Called at each token, with the number of tokens so far. */
  readonly onToken?: (count: number) => void;
}

interface BookingOptions {
  readonly key: string;
  readonly body: string;
  readonly createdAt?: number;
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

const SILENCE_MS = 120_000;
const TIMEOUT_MS = 60_000;

function errorFields(text: string): Partial<CallerResponse> {
  try {
    const {error} = JSON.parse(text) as ErrorBody;
    if (!error) return {};
    const {kind, ran, message, retry_after_ms: retryAfterMs} = error;
    return {errorKind: kind, ran, message, retryAfterMs};
  } catch {
    return {};
  }
}

/** Creates a caller of one workspace for tests, demos and load. */
export function createCaller(baseUrl: () => string, workspace: string) {
  const headers = (timeoutMs = TIMEOUT_MS) => ({
    authorization: `Bearer ${demoToken(workspace)}`,
    'x-figfall-workspace': workspace,
    'x-figfall-timeout-ms': String(timeoutMs),
    'content-type': 'application/json',
  });

  const complete = async (
    options: CompletionOptions,
  ): Promise<CallerResponse> => {
    const startedAt = performance.now();
    const opened = await openExchange({
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
      timeoutMs: SILENCE_MS,
      signal: options.signal,
    });
    const elapsed = () => performance.now() - startedAt;
    const empty = {text: '', tokens: 0, complete: false};
    if (opened.isErr()) {
      const {message} = opened.error;
      return {status: 0, ...empty, message, totalMs: elapsed()};
    }
    const res = opened.value;
    const status = res.statusCode ?? 0;
    if (status !== 200) {
      let text = '';
      for await (const chunk of res) text += String(chunk);
      return {status, ...empty, ...errorFields(text), totalMs: elapsed()};
    }
    const texts: string[] = [];
    let fields: Partial<CallerResponse> = {};
    let isComplete = false;
    let firstTokenMs: number | undefined;
    let lastAt = 0;
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
        if (chunk.error) fields = errorFields(data);
        const text = chunk.choices?.[0]?.text;
        if (text === undefined) continue;
        texts.push(text);
        const at = elapsed();
        if (firstTokenMs === undefined) firstTokenMs = at;
        else maxGapMs = Math.max(maxGapMs, at - lastAt);
        lastAt = at;
        options.onToken?.(texts.length);
      }
    } catch (error) {
      fields = {message: (error as Error).message};
    }
    return {
      status,
      text: texts.join(''),
      tokens: texts.length,
      complete: isComplete,
      firstTokenMs,
      maxGapMs,
      totalMs: elapsed(),
      ...fields,
    };
  };

  const book = async (options: BookingOptions): Promise<CallerResponse> => {
    const startedAt = performance.now();
    const answer = await exchange({
      method: 'POST',
      baseUrl: baseUrl(),
      path: '/v1/services/booking/dosing',
      headers: {
        ...headers(options.timeoutMs),
        'idempotency-key': options.key,
        'idempotency-key-created': String(options.createdAt ?? Date.now()),
      },
      body: options.body,
      timeoutMs: SILENCE_MS,
    });
    const totalMs = performance.now() - startedAt;
    const empty = {tokens: 0, totalMs};
    if (answer.isErr()) {
      const {message} = answer.error;
      return {status: 0, text: '', complete: false, message, ...empty};
    }
    const {status, body} = answer.value;
    const text = body.toString();
    const complete = status < 300;
    return {status, text, complete, ...empty, ...errorFields(text)};
  };

  return {complete, book};
}
