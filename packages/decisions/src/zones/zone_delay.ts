/** Declared one-way delay between two availability zones, in both directions. */
export interface ZoneDelay {
  readonly zones: readonly [string, string];
  readonly delayMs: number;
}
