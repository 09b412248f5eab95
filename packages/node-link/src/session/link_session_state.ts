import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** Send side of one stream's flow control. */
interface SendWindow {
  /** Bytes sent for which the peer has returned no credit yet. */
  readonly inFlightBytes: number;
  /** Messages that wait for credit, oldest first. */
  readonly queued: readonly {
    readonly message: PeerMessage;
    readonly windowBytes: number;
  }[];
}

/** State of a link session. Times are milliseconds on a monotonic clock. */
export interface LinkSessionState {
  readonly phase:
    'awaiting-hello' | 'awaiting-proof' | 'established' | 'closed';
  readonly nonce: string;
  readonly peer?: NodeIdentity;
  readonly peerNonce?: string;
  /** Number of the next data frame to send. */
  readonly nextSendNumber: number;
  /** Number that the next data frame from the peer must have. */
  readonly nextReceiveNumber: number;
  readonly startedAt: number;
  readonly lastReceivedAt: number;
  readonly lastPingAt: number;
  readonly sendWindows: ReadonlyMap<string, SendWindow>;
  /** Bytes consumed here, by stream, that have not been credited yet. */
  readonly uncreditedBytes: ReadonlyMap<string, number>;
}
