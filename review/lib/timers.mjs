import {clearTimeout, setTimeout} from 'node:timers';

/** Timers of a case, which end together. */
export class Timers {
  #timers = new Set();

  set(action, ms) {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, ms);
    this.#timers.add(timer);
  }

  clear() {
    this.#timers.forEach(timer => clearTimeout(timer));
    this.#timers.clear();
  }
}
