/** One figure of a scenario. */
export interface BenchRow {
  /** Routing policy, or the variant, that the figure belongs to. */
  readonly policy: string;
  readonly metric: string;
  readonly value: number;
  readonly unit: string;
}
