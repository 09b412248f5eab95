/** Options of the platform client. */
export interface PlatformClientOptions {
  /** Base URL of the platform. */
  readonly baseUrl: string;
  /** Milliseconds after which a call counts as lost. */
  readonly timeoutMs: number;
  /** Milliseconds for which a watch waits at most. */
  readonly watchMs: number;
}
