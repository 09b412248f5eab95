import type {CallHandle} from './call_handle.js';

interface QueuedRequest {
  /** Monotonic time in milliseconds until which the request may wait. */
  readonly until: number;
  readonly begin: () => void;
}

/**
 * Requests that arrive while a gateway starts, in order. After a restart
 * callers connect before the configuration has been read, which takes only a
 * moment; without the queue they would be refused.
 */
export class StartupQueue {
  private queued: QueuedRequest[] = [];

  /**
   * Queues a request; `begin` starts it on `flush`, or once `until` has passed,
   * unless the caller left.
   */
  enqueue(begin: () => CallHandle, until: number): CallHandle {
    let call: CallHandle | undefined;
    let hasDisconnected = false;
    const beginQueued = () => {
      if (!hasDisconnected) call = begin();
    };
    this.queued.push({until, begin: beginQueued});
    return {
      handleDisconnect: () => {
        hasDisconnected = true;
        call?.handleDisconnect();
      },
      handleDrain: () => call?.handleDrain(),
    };
  }

  /** Starts all queued requests in order of arrival. */
  flush(): void {
    this.takeAll().forEach(begin => begin());
  }

  /** Takes out all queued requests, in order of arrival, to be started. */
  takeAll(): readonly (() => void)[] {
    const {queued} = this;
    this.queued = [];
    return queued.map(({begin}) => begin);
  }

  /** Starts the requests that may not wait beyond `now`. */
  flushUntil(now: number): void {
    const {queued} = this;
    this.queued = queued.filter(({until}) => until > now);
    queued.filter(({until}) => until <= now).forEach(({begin}) => begin());
  }

  isEmpty(): boolean {
    return this.queued.length === 0;
  }
}
