interface ScheduledAction {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Waits until pending promise callbacks have run. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

/** A virtual clock that jumps from one scheduled action to the next. */
export class VirtualClock {
  private readonly scheduled: ScheduledAction[] = [];
  private sequence = 0;
  private time = 0;
  /** Set if promise callbacks must run before the next action. */
  private hasPendingPromises = false;

  readonly now = (): number => this.time;

  /**
   * Schedules an action. Actions due at the same time run in the order in
   * which they were scheduled; a negative delay counts as 0.
   */
  schedule(delayMs: number, run: () => void): void {
    this.sequence += 1;
    const next = {
      at: this.time + Math.max(0, delayMs),
      sequence: this.sequence,
      run,
    };
    const index = this.scheduled.findLastIndex(({at}) => at <= next.at);
    this.scheduled.splice(index + 1, 0, next);
  }

  /**
   * Runs pending promise callbacks before the next action. Call it before
   * returning a promise: promises take no virtual time.
   */
  flushPromisesNext(): void {
    this.hasPendingPromises = true;
  }

  /** Runs all actions due up to and including `end`, in milliseconds. */
  async runUntil(end: number): Promise<void> {
    for (;;) {
      if (this.hasPendingPromises) {
        this.hasPendingPromises = false;
        await flushPromises();
      }
      const [next] = this.scheduled;
      if (!next || next.at > end) break;
      this.scheduled.shift();
      this.time = next.at;
      next.run();
    }
    this.time = end;
  }
}
