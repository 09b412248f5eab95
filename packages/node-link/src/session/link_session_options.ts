import type {NodeIdentity} from '../messages/node_identity.js';

/** Options of one end of a link. */
export interface LinkSessionOptions {
  readonly node: NodeIdentity;
  /** Random text for this connection. */
  readonly nonce: string;
  /** Returns the keyed hash of a text under the shared key. */
  readonly sign: (text: string) => string;
  /** Compares a keyed hash in constant time. */
  readonly isSigned: (text: string, mac: string) => boolean;
  readonly heartbeatMs: number;
  readonly silenceMs: number;
  readonly handshakeMs: number;
}
