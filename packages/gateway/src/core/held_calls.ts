import type {CallHandle} from './call_handle.js';

/**
 * Requests that came while a gateway starts, in order. Load: after a restart
 * callers are there before the configuration, which is due in a moment.
 */
export class HeldCalls {
  private held: (() => void)[] = [];

  /** Keeps a request, which `begin` starts, until `release`. */
  hold(begin: () => CallHandle): CallHandle {
    let call: CallHandle | undefined;
    let isGone = false;
    this.held.push(() => {
      if (!isGone) call = begin();
    });
    return {
      handleDisconnect: () => {
        isGone = true;
        call?.handleDisconnect();
      },
      handleDrain: () => call?.handleDrain(),
    };
  }

  /** Begins all requests that are held. */
  release(): void {
    const {held} = this;
    this.held = [];
    held.forEach(begin => begin());
  }

  isEmpty(): boolean {
    return this.held.length === 0;
  }
}
