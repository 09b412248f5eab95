import type {LinkFrame} from '../codec/link_frame.js';
import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** What one end of a link orders. */
export type LinkSessionCommand =
  | {readonly type: 'write'; readonly frame: LinkFrame}
  | {readonly type: 'up'; readonly peer: NodeIdentity}
  | {
      readonly type: 'deliver';
      readonly stream: string;
      readonly message: PeerMessage;
      readonly cost: number;
    }
  | {readonly type: 'close'; readonly reason: string};
