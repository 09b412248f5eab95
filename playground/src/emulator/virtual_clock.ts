interface Due {
  readonly at: number;
  readonly order: number;
  readonly act: () => void;
}

/** Lets promises settle that an action has started. */
function settle(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

/** Time that passes only from one planned action to the next. */
export class VirtualClock {
  private readonly due: Due[] = [];
  private order = 0;
  private time = 0;
  /** True where promises have been started since the last action. */
  private isUnsettled = false;

  readonly now = (): number => this.time;

  /** Plans an action; those of one moment run in the order of planning. */
  after(ms: number, act: () => void): void {
    this.order += 1;
    const next = {at: this.time + Math.max(0, ms), order: this.order, act};
    const index = this.due.findLastIndex(({at}) => at <= next.at);
    this.due.splice(index + 1, 0, next);
  }

  /** Says that an action waits for promises, which take no virtual time. */
  unsettled(): void {
    this.isUnsettled = true;
  }

  /** Runs all actions up to a time. */
  async runUntil(end: number): Promise<void> {
    for (;;) {
      if (this.isUnsettled) {
        this.isUnsettled = false;
        await settle();
      }
      const [next] = this.due;
      if (!next || next.at > end) break;
      this.due.shift();
      this.time = next.at;
      next.act();
    }
    this.time = end;
  }
}
