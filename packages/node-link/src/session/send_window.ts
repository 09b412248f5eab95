import {LINK} from '../constants.js';
import type {PeerMessage} from '../messages/peer_message.js';
import type {LinkSessionState} from './link_session_state.js';

type SendWindow =
  LinkSessionState['sendWindows'] extends ReadonlyMap<string, infer Value>
    ? Value
    : never;

/** Send-side flow control of one stream. */
export const sendWindow = {
  empty(): SendWindow {
    return {inFlightBytes: 0, queued: []};
  },

  enqueue(
    window: SendWindow,
    message: PeerMessage,
    windowBytes: number,
  ): SendWindow {
    return {...window, queued: [...window.queued, {message, windowBytes}]};
  },

  addCredit(window: SendWindow, windowBytes: number): SendWindow {
    return {
      ...window,
      inFlightBytes: Math.max(0, window.inFlightBytes - windowBytes),
    };
  },

  /**
   * Removes the queued messages that fit into the window, oldest first. An
   * empty window always admits one message, even one larger than the window.
   */
  dequeueReady(window: SendWindow): {
    window: SendWindow;
    ready: SendWindow['queued'];
  } {
    let inFlightBytes = window.inFlightBytes;
    const firstBlocked = window.queued.findIndex(({windowBytes}) => {
      const fits =
        inFlightBytes === 0 ||
        inFlightBytes + windowBytes <= LINK.STREAM_WINDOW_BYTES;
      if (fits) inFlightBytes += windowBytes;
      return !fits;
    });
    const count = firstBlocked < 0 ? window.queued.length : firstBlocked;
    return {
      window: {inFlightBytes, queued: window.queued.slice(count)},
      ready: window.queued.slice(0, count),
    };
  },
};
