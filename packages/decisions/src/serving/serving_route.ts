/** One route of the configuration. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request that may already have run may be sent again. */
  readonly kind: 'idempotent' | 'non-idempotent' | 'streaming';
  /** True if a broken stream may resume on another backend server. */
  readonly resumable: boolean;
  /** Services that share the route's requests, by weight. */
  readonly trafficSplit: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  /** Most attempts at backend servers for one request of a caller. */
  readonly maxAttempts: number;
  /** Longest time in milliseconds that a request may take. */
  readonly timeoutMs: number;
  /** Time in milliseconds within which the first event is on time. */
  readonly latencyTargetMs: number;
  /** Longest acceptable pause between events of a stream, in milliseconds. */
  readonly pauseMs: number;
  /** 0 is the most urgent; a workspace's priority takes precedence. */
  readonly priority: number;
  /** True if callers need no API key. */
  readonly isPublic: boolean;
}
