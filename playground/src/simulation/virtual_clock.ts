interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Lets promises settle that an action has started. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

/** Time that passes only from one planned action to the next. */
export class VirtualClock {
  private readonly scheduled: ScheduledAction[] = [];
  private order = 0;
  private time = 0;
  /** True where promises have been started since the last action. */
  private hasPendingPromises = false;

  readonly now = (): number => this.time;

  /** Plans an action; those of one moment run in the order of planning. */
  schedule(delayMs: number, run: () => void): void {
    this.order += 1;
    const next = {at: this.time + Math.max(0, delayMs), order: this.order, run};
    const index = this.scheduled.findLastIndex(({at}) => at <= next.at);
    this.scheduled.splice(index + 1, 0, next);
  }

  /** Says that an action waits for promises, which take no virtual time. */
  flushPromisesNext(): void {
    this.hasPendingPromises = true;
  }

  /** Runs all actions up to a time. */
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
