/** Costs of traffic between availability zones. */
export interface ZonePolicy {
  /** Cost of a megabyte, relative to the value of one short response. */
  readonly transferCost: number;
  /** One-way delay between two zones, in milliseconds. */
  readonly delayMs: (from: string, to: string) => number;
}
