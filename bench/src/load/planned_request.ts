/** One request of a workload, with the time at which it is sent. */
export interface PlannedRequest {
  readonly id: number;
  /** Milliseconds after the start of the load. */
  readonly sendAtMs: number;
  /** Index into the workspaces of the deployment. */
  readonly workspace: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
}
