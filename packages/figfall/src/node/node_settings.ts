import type {LinkTls} from '@figfall/node-link';

/** Settings that entries and agents share. */
export interface NodeSettings {
  /** Unique id of the node; a replacement process takes it over. */
  readonly id: string;
  readonly region: string;
  /** Availability zone. */
  readonly zone: string;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Secret key that authenticates links; the same on all nodes. */
  readonly linkKey: string;
  readonly linkTls?: LinkTls;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  readonly traceExporter: 'none' | 'console' | 'otlp';
  readonly otlpUrl?: string;
  /** Longest time in milliseconds to finish running work after SIGTERM. */
  readonly shutdownMs: number;
}
