/** What an operator says of traffic between availability zones. */
export interface ZoneSettings {
  /**
   * Cost of a megabyte sent between zones, relative to the value of one short
   * response on time.
   *
   * @default fixed costs for each request that leaves its zone
   */
  readonly transferCost?: number;
  /**
   * One-way delay between zones, in milliseconds.
   *
   * @default the delay that the configuration declares
   */
  readonly delayMs?: number;
}
