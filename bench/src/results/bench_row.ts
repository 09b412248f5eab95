/** One measurement of a scenario. */
export interface BenchRow {
  /** Routing policy or variant of the scenario that was measured. */
  readonly policy: string;
  readonly metric: string;
  readonly value: number;
  readonly unit: string;
}
