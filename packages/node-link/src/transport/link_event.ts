import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';
import type {Link} from './link.js';

/** What a node learns from its links. */
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
      /** Window bytes to give back with `link.returnCredit`. */
      readonly windowBytes: number;
    }
  | {
      readonly type: 'link-down';
      readonly link: Link;
      readonly peer?: NodeIdentity;
      readonly reason: string;
    };
