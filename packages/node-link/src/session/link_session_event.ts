import type {LinkFrame} from '../codec/link_frame.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** What one end of a link learns. */
export type LinkSessionEvent =
  | {readonly type: 'frame'; readonly frame: LinkFrame}
  | {
      readonly type: 'send';
      readonly stream: string;
      readonly message: PeerMessage;
      /** Bytes of the stream's window; 0 for messages without flow control. */
      readonly cost: number;
    }
  | {
      readonly type: 'consumed';
      readonly stream: string;
      readonly cost: number;
    }
  | {readonly type: 'end-stream'; readonly stream: string}
  | {readonly type: 'tick'};
