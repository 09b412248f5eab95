/** One step of the demo, with what it found. */
export interface DemoStep {
  readonly name: string;
  readonly detail: string;
  readonly passed: boolean;
}
