import type {LinkFrame} from '../codec/link_frame.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** Input of a link session. */
export type LinkSessionEvent =
  | {readonly type: 'frame'; readonly frame: LinkFrame}
  | {
      readonly type: 'send';
      readonly stream: string;
      readonly message: PeerMessage;
      /** Bytes that count against the stream's window; 0 bypasses the window. */
      readonly windowBytes: number;
    }
  | {
      readonly type: 'consumed';
      readonly stream: string;
      readonly windowBytes: number;
    }
  | {readonly type: 'end-stream'; readonly stream: string}
  | {readonly type: 'tick'};
