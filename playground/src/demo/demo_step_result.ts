/** Result of one step of the demo. */
export interface DemoStepResult {
  readonly name: string;
  /** What was observed, as printed after the name. */
  readonly detail: string;
  readonly passed: boolean;
}
