import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** One connection to another figfall process. */
export interface Link {
  /** Identifies this connection; a reconnected peer gets a new one. */
  readonly linkId: string;
  /** Identity of the peer; undefined until the handshake has succeeded. */
  readonly peer: () => NodeIdentity | undefined;
  /**
   * Sends a message, or queues it while the stream's window is full. The
   * message is dropped unless the link is established.
   */
  readonly send: (stream: string, message: PeerMessage) => void;
  /** Returns flow-control credit, in bytes, for a consumed message. */
  readonly returnCredit: (stream: string, windowBytes: number) => void;
  /** Drops the flow-control state and queued messages of a finished stream. */
  readonly endStream: (stream: string) => void;
  readonly close: (reason: string) => void;
  /** Sends a due ping and closes the link if a timeout has expired. */
  readonly tick: () => void;
  /** Bytes written to and read from the socket since it was opened. */
  readonly byteCounts: () => {readonly sent: number; readonly received: number};
}
