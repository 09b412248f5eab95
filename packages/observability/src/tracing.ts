import type {Span} from '@opentelemetry/api';

interface SpanOptions {
  readonly name: string;
  /** W3C trace context of the parent, from another process. */
  readonly traceparent?: string;
  readonly attributes?: Readonly<Record<string, string | number>>;
}

/** Starts spans and carries their context between processes. */
export interface Tracing {
  readonly start: (options: SpanOptions) => Span;
  /** Returns the W3C trace context of a span. */
  readonly traceparentOf: (span: Span) => string;
  readonly shutdown: () => Promise<void>;
}
