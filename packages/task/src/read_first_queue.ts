import {monotonicNow} from './monotonic_now.js';
import {reportDefect} from './report_defect.js';

/** Milliseconds for which actions run in one turn of the event loop. */
const RUN_MS = 20;

/** Milliseconds from turn to turn after which the process may have stood still. */
const STANDSTILL_MS = 100;

interface ReadFirstQueueOptions {
  /** Monotonic time in milliseconds. @default monotonicNow */
  readonly now?: () => number;
  /** Runs an action after the next poll for I/O. @default setImmediate */
  readonly afterPoll?: (action: () => void) => void;
}

interface QueuedAction {
  readonly run: () => void;
  /** Turn of the event loop in which it was queued. */
  readonly turn: number;
}

/**
 * Runs actions for callers, in order, once what the callers have sent by then
 * has been read: a close that lies behind a request is seen before work for it
 * begins. What takes long is spread over several turns of the event loop, since
 * each of them accepts only one connection.
 */
export class ReadFirstQueue {
  private readonly queue = new Set<QueuedAction>();
  private readonly now: () => number;
  private readonly afterPoll: (action: () => void) => void;
  private turn = 0;
  private isScheduled = false;
  private lastTurnAt = 0;
  private hasPolledTwice = false;

  constructor(options: ReadFirstQueueOptions = {}) {
    this.now = options.now ?? monotonicNow;
    this.afterPoll = options.afterPoll ?? (action => setImmediate(action));
  }

  /** Queues an action; the function that it returns takes it out again. */
  add(run: () => void): () => void {
    const action: QueuedAction = {run, turn: this.turn};
    this.queue.add(action);
    this.schedule();
    return () => void this.queue.delete(action);
  }

  /** Runs all actions at once. */
  flush(): void {
    this.queue.forEach(action => this.run(action));
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.lastTurnAt = this.now();
    this.afterPoll(() => this.onTurn());
  }

  private onTurn(): void {
    if (!this.needsAnotherPoll()) this.runSome();
    this.turn += 1;
    this.lastTurnAt = this.now();
    this.isScheduled = this.queue.size > 0;
    if (this.isScheduled) this.afterPoll(() => this.onTurn());
  }

  /** True after a standstill, which may have come after the poll. */
  private needsAnotherPoll(): boolean {
    const stoodStill = this.now() - this.lastTurnAt >= STANDSTILL_MS;
    this.hasPolledTwice = stoodStill && !this.hasPolledTwice;
    return this.hasPolledTwice;
  }

  /** Runs actions that were queued in earlier turns, for `RUN_MS` at most. */
  private runSome(): void {
    const until = this.now() + RUN_MS;
    [...this.queue]
      .filter(({turn}) => turn < this.turn)
      .forEach(action => {
        if (this.now() < until) this.run(action);
      });
  }

  private run(action: QueuedAction): void {
    if (!this.queue.delete(action)) return;
    try {
      action.run();
    } catch (error) {
      reportDefect(error);
    }
  }
}
