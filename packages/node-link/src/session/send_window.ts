import {LINK} from '../constants.js';
import type {PeerMessage} from '../messages/peer_message.js';
import type {LinkSessionState} from './link_session_state.js';

type Window =
  LinkSessionState['windows'] extends ReadonlyMap<string, infer Value>
    ? Value
    : never;

/** Flow control of one stream in one direction. */
export const sendWindow = {
  empty(): Window {
    return {used: 0, waiting: []};
  },

  add(window: Window, message: PeerMessage, cost: number): Window {
    return {...window, waiting: [...window.waiting, {message, cost}]};
  },

  credit(window: Window, cost: number): Window {
    return {...window, used: Math.max(0, window.used - cost)};
  },

  /** Takes the messages, in order, that fit into the window now. */
  takeReady(window: Window): {window: Window; ready: Window['waiting']} {
    let used = window.used;
    const firstBlocked = window.waiting.findIndex(({cost}) => {
      const fits = used === 0 || used + cost <= LINK.WINDOW_BYTES;
      if (fits) used += cost;
      return !fits;
    });
    const count = firstBlocked < 0 ? window.waiting.length : firstBlocked;
    return {
      window: {used, waiting: window.waiting.slice(count)},
      ready: window.waiting.slice(0, count),
    };
  },
};
