import type {LinkFrame} from '../codec/link_frame.js';
import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** Output of a link session, which the owner of the socket executes. */
export type LinkSessionCommand =
  | {readonly type: 'write'; readonly frame: LinkFrame}
  | {readonly type: 'established'; readonly peer: NodeIdentity}
  | {
      readonly type: 'deliver';
      readonly stream: string;
      readonly message: PeerMessage;
      readonly windowBytes: number;
    }
  | {readonly type: 'close'; readonly reason: string};
