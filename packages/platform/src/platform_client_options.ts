/** Options of the platform client. */
export interface PlatformClientOptions {
  /** Base URL of the platform. */
  readonly baseUrl: string;
  /** Time in milliseconds after which a call fails as `lost`. */
  readonly timeoutMs: number;
}
