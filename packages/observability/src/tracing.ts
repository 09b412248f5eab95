import type {Span} from '@opentelemetry/api';

interface SpanOptions {
  readonly name: string;
  /** W3C `traceparent` of the parent span; a root span if undefined. */
  readonly traceparent?: string;
  readonly attributes?: Readonly<Record<string, string | number>>;
}

/** Starts spans and propagates their context between processes. */
export interface Tracing {
  readonly start: (options: SpanOptions) => Span;
  /** Returns the W3C `traceparent` value of a span. */
  readonly traceparentOf: (span: Span) => string;
  /** Exports the remaining spans. */
  readonly shutdown: () => Promise<void>;
}
