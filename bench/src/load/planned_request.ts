/** One request of a workload. */
export interface PlannedRequest {
  readonly id: number;
  /** Milliseconds after the start. */
  readonly at: number;
  readonly workspace: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
}
