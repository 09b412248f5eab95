import type {OpenCall} from './open_call.js';

/** Begins a request that was held. */
type Begin = () => OpenCall;

/**
 * Requests that came while a gateway starts, in order. Load: after a restart
 * callers are there before the configuration, which is due in a moment.
 */
export class HeldCalls {
  private held: Begin[] = [];

  /** Keeps a request until `release`. */
  hold(begin: Begin): OpenCall {
    let call: OpenCall | undefined;
    let isGone = false;
    this.held.push(() => {
      if (isGone)
        return {callerGone: () => undefined, drained: () => undefined};
      return (call = begin());
    });
    return {
      callerGone: () => {
        isGone = true;
        call?.callerGone();
      },
      drained: () => call?.drained(),
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
