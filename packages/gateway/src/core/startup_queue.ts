import type {CallHandle} from './call_handle.js';

/**
 * Requests that arrive while a gateway starts, in order. After a restart
 * callers connect before the configuration has been read, which takes only a
 * moment; without the queue they would be refused.
 */
export class StartupQueue {
  private queued: (() => void)[] = [];

  /** Queues a request; `begin` starts it on `flush` unless the caller left. */
  enqueue(begin: () => CallHandle): CallHandle {
    let call: CallHandle | undefined;
    let hasDisconnected = false;
    this.queued.push(() => {
      if (!hasDisconnected) call = begin();
    });
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
    const {queued} = this;
    this.queued = [];
    queued.forEach(begin => begin());
  }

  isEmpty(): boolean {
    return this.queued.length === 0;
  }
}
