import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** A frame of the link protocol. */
export type LinkFrame =
  | {
      readonly t: 'hello';
      readonly version: number;
      readonly node: NodeIdentity;
      /** Random text that the peer must include in its signed proof. */
      readonly nonce: string;
    }
  | {readonly t: 'proof'; readonly mac: string}
  | {readonly t: 'ping'}
  | {readonly t: 'pong'}
  | {
      readonly t: 'data';
      /** Id of the stream that the message belongs to. */
      readonly s: string;
      /** Sequence number of the data frame on this link, from 0. */
      readonly q: number;
      /** Bytes that the frame counts against the stream's window. */
      readonly c: number;
      readonly m: PeerMessage;
    }
  | {
      /** Returns `c` bytes to the window of stream `s`. */
      readonly t: 'credit';
      readonly s: string;
      readonly c: number;
    };
