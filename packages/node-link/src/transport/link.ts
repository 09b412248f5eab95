import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** One connection to another figfall process. */
export interface Link {
  /** Unique for each connection. */
  readonly linkId: string;
  /** Peer, once the handshake has ended. */
  readonly peer: () => NodeIdentity | undefined;
  /** Sends a message; messages to a closed link are dropped. */
  readonly send: (stream: string, message: PeerMessage) => void;
  /** Returns flow-control credit, in bytes, for a consumed message. */
  readonly returnCredit: (stream: string, cost: number) => void;
  /** Forgets the flow control of a stream that has ended. */
  readonly endStream: (stream: string) => void;
  readonly close: (reason: string) => void;
  /** Checks timers. */
  readonly tick: () => void;
  /** Bytes written and read so far. */
  readonly byteCounts: () => {readonly sent: number; readonly received: number};
}
