import type {NodeIdentity} from '../messages/node_identity.js';
import type {LinkTls} from './link_tls.js';

/** Options that all links of a node share. */
export interface LinkOptions {
  readonly node: NodeIdentity;
  /** Secret shared by all nodes of a deployment; authenticates handshakes. */
  readonly key: string;
  /** Links use plain TCP if it is undefined. */
  readonly tls?: LinkTls;
  /** @default LINK.HEARTBEAT_INTERVAL_MS */
  readonly heartbeatIntervalMs?: number;
  /** @default LINK.SILENCE_TIMEOUT_MS */
  readonly silenceTimeoutMs?: number;
}
