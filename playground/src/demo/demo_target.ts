/** The deployment that the demo runs against: base URLs and engine size. */
export interface DemoTarget {
  readonly entryUrls: readonly string[];
  readonly platformUrl: string;
  readonly engines: readonly {readonly zone: string; readonly url: string}[];
  readonly serviceUrls: readonly string[];
  /** Tokens that the KV cache of one engine holds. */
  readonly engineTokens: number;
}
