import type {SoakObservations} from './soak_observations.js';

const INTERVAL_MS = 20;

/** Records when the event loop of the harness itself was late. */
export class HarnessDelays {
  readonly spans: SoakObservations['harnessDelays'][number][] = [];
  private readonly timer: NodeJS.Timeout;
  private dueAt: number;

  /** @param now Returns monotonic time in milliseconds. */
  constructor(private readonly now: () => number) {
    this.dueAt = now() + INTERVAL_MS;
    this.timer = setInterval(() => this.check(), INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const now = this.now();
    if (now > this.dueAt + INTERVAL_MS) {
      this.spans.push({from: this.dueAt, to: now});
    }
    this.dueAt = now + INTERVAL_MS;
  }
}
