/** Demand of short and of long prompts, over all gateways. */
export interface PromptDemand {
  /** Servers that the prompts can be sent to. */
  readonly servers: number;
  /** Short prompts that arrive a second, at all gateways. */
  readonly shortPerSecond: number;
  /** Streams with short prompts that the present arrivals lead to. */
  readonly shortStreams: number;
  /** Servers that prefilled long prompts, averaged over the last seconds. */
  readonly longServers: number;
  /** Prompts that wait for servers. */
  readonly waiting: number;
}
