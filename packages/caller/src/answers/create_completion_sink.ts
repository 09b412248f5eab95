import type {ServerResponse} from 'node:http';
import type {Failure} from '@figfall/decisions';
import type {CompletionRequest} from '../requests/completion_request.js';
import {CHUNK_FORMATS} from './chunk_formats.js';
import type {CompletionSink} from './completion_sink.js';
import {failureBody} from './failure_body.js';
import {sendFailure} from './send_failure.js';

const STREAM_END = 'data: [DONE]\n\n';

function usageOf(req: CompletionRequest, count: number) {
  return {
    prompt_tokens: req.promptTokens,
    completion_tokens: count,
    total_tokens: req.promptTokens + count,
  };
}

function event(value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Sends server-sent events; a failure after the first is an error event. */
function streamSink(
  res: ServerResponse,
  req: CompletionRequest,
): Omit<CompletionSink, 'onDrain' | 'onDisconnect'> {
  const format = CHUNK_FORMATS[req.kind];
  const id = req.metadata.requestId;
  let count = 0;
  const open = () => {
    if (!res.headersSent) {
      res.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
      });
    }
  };
  return {
    writeTokens: texts => {
      open();
      count += texts.length;
      const events = texts.map(text =>
        event(format.chunk(id, req.model, text)),
      );
      return res.write(events.join(''));
    },
    complete: () => {
      open();
      const usage = usageOf(req, count);
      res.write(event({id, model: req.model, choices: [], usage}));
      res.end(STREAM_END);
    },
    fail: failure => {
      if (!res.headersSent) return sendFailure(res, failure);
      res.end(`event: error\n${event(failureBody(failure))}`);
    },
  };
}

/** Collects the answer and sends it as one JSON value. */
function wholeSink(
  res: ServerResponse,
  req: CompletionRequest,
): Omit<CompletionSink, 'onDrain' | 'onDisconnect'> {
  const texts: string[] = [];
  return {
    writeTokens: fresh => {
      texts.push(...fresh);
      return true;
    },
    complete: () => {
      const usage = usageOf(req, texts.length);
      const id = req.metadata.requestId;
      const text = texts.join('');
      const whole = CHUNK_FORMATS[req.kind].whole(id, req.model, text, usage);
      res.writeHead(200, {'content-type': 'application/json'});
      res.end(JSON.stringify(whole));
    },
    fail: (failure: Failure) => sendFailure(res, failure),
  };
}

/** Creates the sink that a request asked for. */
export function createCompletionSink(
  res: ServerResponse,
  req: CompletionRequest,
): CompletionSink {
  const sink = req.stream ? streamSink(res, req) : wholeSink(res, req);
  return {
    ...sink,
    onDrain: listener => {
      res.on('drain', listener);
    },
    onDisconnect: listener => {
      res.on('close', () => {
        if (!res.writableEnded) listener();
      });
    },
  };
}
