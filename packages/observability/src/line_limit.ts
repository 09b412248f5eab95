/** Lines that are logged in each interval; others are only counted. */
const LINES_MAX = 20;

const INTERVAL_MS = 60_000;

/** Limits how many lines of one kind are logged. */
export class LineLimit {
  private lines = 0;
  private unloggedCount = 0;
  private intervalStart = -Infinity;

  /** `now` returns monotonic time in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** Lines that were not logged so far. */
  get unlogged(): number {
    return this.unloggedCount;
  }

  /** Returns true if one more line may be logged, and counts it. */
  take(): boolean {
    const now = this.now();
    if (now - this.intervalStart >= INTERVAL_MS) {
      this.intervalStart = now;
      this.lines = 0;
    }
    this.lines += 1;
    const mayLog = this.lines <= LINES_MAX;
    if (!mayLog) this.unloggedCount += 1;
    return mayLog;
  }
}
