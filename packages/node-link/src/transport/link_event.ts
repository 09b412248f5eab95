import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';
import type {Link} from './link.js';

/** An event of a link: established, message received, or closed. */
export type LinkEvent =
  | {
      readonly type: 'link-up';
      readonly link: Link;
      readonly peer: NodeIdentity;
    }
  | {
      readonly type: 'message';
      readonly link: Link;
      readonly stream: string;
      readonly message: PeerMessage;
      /** Bytes to pass to `link.returnCredit` once the message is consumed. */
      readonly windowBytes: number;
    }
  | {
      readonly type: 'link-down';
      readonly link: Link;
      readonly peer?: NodeIdentity;
      readonly reason: string;
    };
