/** Addresses of a deployment that the demo is run against. */
export interface DemoTarget {
  readonly entryUrls: readonly string[];
  readonly platformUrl: string;
  readonly engines: readonly {readonly zone: string; readonly url: string}[];
  readonly serviceUrls: readonly string[];
  /** Memory of one engine in tokens. */
  readonly engineTokens: number;
}
