import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** A frame on the wire. */
export type LinkFrame =
  | {
      readonly t: 'hello';
      readonly version: number;
      readonly node: NodeIdentity;
      /** Random text that the peer's proof must cover. */
      readonly nonce: string;
    }
  | {readonly t: 'proof'; readonly mac: string}
  | {readonly t: 'ping'}
  | {readonly t: 'pong'}
  | {
      readonly t: 'data';
      /** Stream that the message belongs to. */
      readonly s: string;
      /** Number of the data frame on this link, from 0. */
      readonly q: number;
      /** Bytes of the stream's window that the frame takes. */
      readonly c: number;
      readonly m: PeerMessage;
    }
  | {
      /** Returns window bytes of a stream. */
      readonly t: 'credit';
      readonly s: string;
      readonly c: number;
    };
