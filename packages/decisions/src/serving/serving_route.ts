/** One route of the configuration. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** What may be repeated: see `mayRepeat`. */
  readonly kind: 'idempotent' | 'non-idempotent' | 'streaming';
  /** True where a stream may go on at another backend server. */
  readonly resumable: boolean;
  /** Services by weight. */
  readonly trafficSplit: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  /** Backend servers that one attempt of a caller may run on. */
  readonly maxAttempts: number;
  /** Longest time in milliseconds that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Milliseconds within which an answer is on time. */
  readonly latencyTargetMs: number;
  /** Longest pause in milliseconds between events of a stream. */
  readonly pauseMs: number;
  /** True where callers need no key. */
  readonly isPublic: boolean;
}
