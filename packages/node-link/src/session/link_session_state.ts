import type {NodeIdentity} from '../messages/node_identity.js';
import type {PeerMessage} from '../messages/peer_message.js';

/** Messages of one stream that wait for credit. */
interface SendWindow {
  /** Bytes that the peer has not yet consumed. */
  readonly used: number;
  readonly waiting: readonly {
    readonly message: PeerMessage;
    readonly cost: number;
  }[];
}

/** State of one end of a link. */
export interface LinkSessionState {
  readonly phase: 'greeting' | 'proving' | 'up' | 'closed';
  readonly nonce: string;
  readonly peer?: NodeIdentity;
  readonly peerNonce?: string;
  /** Number of the next data frame that is sent and expected. */
  readonly sendNumber: number;
  readonly receiveNumber: number;
  readonly startedAt: number;
  readonly heardAt: number;
  readonly pingedAt: number;
  readonly windows: ReadonlyMap<string, SendWindow>;
  /** Bytes consumed here for which no credit has been returned. */
  readonly consumed: ReadonlyMap<string, number>;
}
