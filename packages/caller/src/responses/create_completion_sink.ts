import type {ServerResponse} from 'node:http';
import type {Failure} from '@figfall/decisions';
import {whenCallerLeaves} from '@figfall/http-client';
import type {CompletionRequest} from '../requests/completion_request.js';
import type {CompletionSink} from './completion_sink.js';
import {errorBody} from './error_body.js';
import {RESPONSE_FORMATS} from './response_formats.js';
import {sendFailure} from './send_failure.js';

const STREAM_END_EVENT = 'data: [DONE]\n\n';

function createUsage(req: CompletionRequest, completionTokens: number) {
  return {
    prompt_tokens: req.promptTokens,
    completion_tokens: completionTokens,
    total_tokens: req.promptTokens + completionTokens,
  };
}

function formatEvent(value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Sends server-sent events; a failure after the first one is an error event. */
function createStreamSink(
  res: ServerResponse,
  req: CompletionRequest,
): Omit<CompletionSink, 'onDrain' | 'onDisconnect'> {
  const format = RESPONSE_FORMATS[req.kind];
  const id = req.metadata.requestId;
  let tokenCount = 0;
  const sendHeaders = () => {
    if (!res.headersSent) {
      res.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
      });
    }
  };
  return {
    writeTokens: texts => {
      sendHeaders();
      tokenCount += texts.length;
      const events = texts.map(text =>
        formatEvent(format.chunk(id, req.model, text)),
      );
      return res.write(events.join(''));
    },
    complete: () => {
      sendHeaders();
      const usage = createUsage(req, tokenCount);
      res.write(formatEvent({id, model: req.model, choices: [], usage}));
      res.end(STREAM_END_EVENT);
    },
    fail: failure => {
      if (!res.headersSent) return sendFailure(res, failure);
      res.end(`event: error\n${formatEvent(errorBody(failure))}`);
    },
  };
}

/** Collects the tokens and sends them as one JSON value. */
function createBufferedSink(
  res: ServerResponse,
  req: CompletionRequest,
): Omit<CompletionSink, 'onDrain' | 'onDisconnect'> {
  const texts: string[] = [];
  return {
    writeTokens: newTexts => {
      texts.push(...newTexts);
      return true;
    },
    complete: () => {
      const usage = createUsage(req, texts.length);
      const id = req.metadata.requestId;
      const text = texts.join('');
      const whole = RESPONSE_FORMATS[req.kind].whole(
        id,
        req.model,
        text,
        usage,
      );
      res.writeHead(200, {'content-type': 'application/json'});
      res.end(JSON.stringify(whole));
    },
    fail: (failure: Failure) => sendFailure(res, failure),
  };
}

/** Creates a streaming or a buffered sink, as the request asks for. */
export function createCompletionSink(
  res: ServerResponse,
  req: CompletionRequest,
): CompletionSink {
  const sink = req.stream
    ? createStreamSink(res, req)
    : createBufferedSink(res, req);
  return {
    ...sink,
    onDrain: listener => {
      res.on('drain', listener);
    },
    onDisconnect: listener => whenCallerLeaves(res, listener),
  };
}
