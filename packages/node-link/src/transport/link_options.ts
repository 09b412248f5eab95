import type {NodeIdentity} from '../messages/node_identity.js';
import type {LinkTls} from './link_tls.js';

/** Options of all links of a node. */
export interface LinkOptions {
  readonly node: NodeIdentity;
  /** Key that all nodes of a deployment share. */
  readonly key: string;
  readonly tls?: LinkTls;
  /** @default LINK.HEARTBEAT_MS */
  readonly heartbeatMs?: number;
  /** @default LINK.SILENCE_MS */
  readonly silenceMs?: number;
}
