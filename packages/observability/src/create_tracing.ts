import {ROOT_CONTEXT, TraceFlags, trace} from '@opentelemetry/api';
import type {Context, Span} from '@opentelemetry/api';
import type {Tracing} from './tracing.js';

interface TracingOptions {
  readonly nodeId: string;
  readonly exporter: 'none' | 'console' | 'otlp';
  /** URL of the OTLP/HTTP collector, for `otlp`. */
  readonly otlpUrl?: string;
}

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

function parentContext(traceparent: string | undefined): Context {
  const parts = TRACEPARENT.exec(traceparent ?? '');
  if (!parts) return ROOT_CONTEXT;
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: parts[1],
    spanId: parts[2],
    traceFlags: parseInt(parts[3], 16),
    isRemote: true,
  });
}

function traceparentOf(span: Span): string {
  const {traceId, spanId, traceFlags} = span.spanContext();
  const flags = (traceFlags ?? TraceFlags.NONE).toString(16).padStart(2, '0');
  return `00-${traceId}-${spanId}-${flags}`;
}

/** Starts spans that are not recorded. */
const NOOP_TRACING: Tracing = {
  start: ({name}) => trace.getTracer('figfall').startSpan(name),
  traceparentOf,
  shutdown: () => Promise.resolve(),
};

async function createExporter(options: TracingOptions) {
  if (options.exporter === 'otlp') {
    const {OTLPTraceExporter} =
      await import('@opentelemetry/exporter-trace-otlp-http');
    return new OTLPTraceExporter({url: options.otlpUrl});
  }
  const {ConsoleSpanExporter} = await import('@opentelemetry/sdk-trace-base');
  return new ConsoleSpanExporter();
}

/**
 * Creates the tracing of one node. To save memory, the OpenTelemetry SDK is
 * loaded only if spans are exported.
 */
export async function createTracing(options: TracingOptions): Promise<Tracing> {
  if (options.exporter === 'none') return NOOP_TRACING;
  const {BasicTracerProvider, BatchSpanProcessor} =
    await import('@opentelemetry/sdk-trace-base');
  const provider = new BasicTracerProvider({
    spanProcessors: [new BatchSpanProcessor(await createExporter(options))],
  });
  const tracer = provider.getTracer('figfall');
  return {
    start: ({name, traceparent, attributes}) =>
      tracer.startSpan(
        name,
        {attributes: {...attributes, 'figfall.node': options.nodeId}},
        parentContext(traceparent),
      ),
    traceparentOf,
    shutdown: () => provider.shutdown(),
  };
}
