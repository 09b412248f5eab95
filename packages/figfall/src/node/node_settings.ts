import type {LinkTls} from '@figfall/node-link';

/** Settings that entries and agents share. */
export interface NodeSettings {
  /** Unique name of the node; kept by its replacement. */
  readonly id: string;
  readonly region: string;
  readonly zone: string;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Key that all nodes of a deployment share. */
  readonly linkKey: string;
  readonly linkTls?: LinkTls;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  readonly traceExporter: 'none' | 'console' | 'otlp';
  readonly otlpUrl?: string;
  /** Milliseconds for which running work may finish after SIGTERM. */
  readonly shutdownMs: number;
}
