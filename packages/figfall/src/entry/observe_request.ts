import type {RequestMetadata} from '@figfall/caller';
import {ROUTING} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import type {NodeContext} from '../node/node_context.js';
import type {CallSink} from './call_sink.js';

const MS_PER_SECOND = 1_000;

/** Starts to record one request in a trace span, metrics and log lines. */
export function observeRequest(
  context: NodeContext,
  metadata: RequestMetadata,
  promptTokens: number,
) {
  const {logger, metrics, tracing} = context;
  const {requestId, workspace} = metadata;
  const startedAt = Date.now();
  const lengthClass =
    promptTokens > ROUTING.LONG_PROMPT_TOKENS ? 'long' : 'short';
  const span = tracing.start({
    name: 'entry.request',
    traceparent: metadata.traceparent,
    attributes: {
      'figfall.request': requestId,
      'figfall.workspace': workspace,
      'figfall.prompt_tokens': promptTokens,
    },
  });
  let hasFirstToken = false;

  const recordAnswer = (answer: string): void => {
    metrics.requests.inc({answer});
    span.setAttribute('figfall.answer', answer);
    span.end();
  };

  const recordFailure = (failure: Failure): void => {
    const {kind, message, ran} = failure;
    recordAnswer(kind);
    logger.info(message, {requestId, workspace, kind, ran});
  };

  return {
    traceparent: tracing.traceparentOf(span),
    recordFailure,

    /** Wraps a sink to record the first token and the result. */
    wrapSink: (sink: CallSink): CallSink => ({
      writeTokens: texts => {
        if (!hasFirstToken) {
          hasFirstToken = true;
          const seconds = (Date.now() - startedAt) / MS_PER_SECOND;
          metrics.firstTokenSeconds.observe({length: lengthClass}, seconds);
        }
        return sink.writeTokens(texts);
      },
      complete: result => {
        recordAnswer('complete');
        logger.debug('request complete', {requestId, workspace});
        sink.complete(result);
      },
      fail: failure => {
        recordFailure(failure);
        sink.fail(failure);
      },
    }),
  };
}
