import type {RequestMetadata} from '@figfall/caller';
import {ROUTING} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import type {NodeContext} from '../node/node_context.js';
import type {CallSink} from './call_sink.js';

const MS_PER_SECOND = 1_000;

/** Follows one request with a span, metrics and log lines. */
export function observeRequest(
  context: NodeContext,
  metadata: RequestMetadata,
  promptTokens: number,
) {
  const {logger, metrics, tracing} = context;
  const {requestId, workspace} = metadata;
  const startedAt = Date.now();
  const length = promptTokens > ROUTING.LONG_PROMPT_TOKENS ? 'long' : 'short';
  const span = tracing.start({
    name: 'entry.request',
    traceparent: metadata.traceparent,
    attributes: {
      'figfall.request': requestId,
      'figfall.workspace': workspace,
      'figfall.prompt_tokens': promptTokens,
    },
  });
  let hasTokens = false;

  const end = (answer: string): void => {
    metrics.requests.inc({answer});
    span.setAttribute('figfall.answer', answer);
    span.end();
  };

  const failed = (failure: Failure): void => {
    const {kind, message, ran} = failure;
    end(kind);
    logger.info(message, {requestId, workspace, kind, ran});
  };

  return {
    traceparent: tracing.traceparentOf(span),
    failed,

    /** Wraps a sink so that what passes is counted. */
    sink: (sink: CallSink): CallSink => ({
      tokens: texts => {
        if (!hasTokens) {
          hasTokens = true;
          const seconds = (Date.now() - startedAt) / MS_PER_SECOND;
          metrics.firstTokenSeconds.observe({length}, seconds);
        }
        return sink.tokens(texts);
      },
      complete: result => {
        end('complete');
        logger.debug('request complete', {requestId, workspace});
        sink.complete(result);
      },
      fail: failure => {
        failed(failure);
        sink.fail(failure);
      },
    }),
  };
}
