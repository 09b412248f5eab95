import type {NodeIdentity} from '../messages/node_identity.js';

/** Options of a link session. */
export interface LinkSessionOptions {
  readonly node: NodeIdentity;
  /** Random text, unique to this connection. */
  readonly nonce: string;
  /** Returns the message authentication code (MAC) of a text. */
  readonly sign: (text: string) => string;
  /** Checks a MAC in constant time. */
  readonly verify: (text: string, mac: string) => boolean;
  readonly heartbeatIntervalMs: number;
  readonly silenceTimeoutMs: number;
  readonly handshakeTimeoutMs: number;
}
