import type {RoutingPolicy} from '@figfall/decisions';
import type {NodeSettings} from '../node/node_settings.js';

/** Settings of an entry. */
export interface EntrySettings extends NodeSettings {
  readonly httpHost: string;
  /** TCP port for callers; 0 chooses a free port. */
  readonly httpPort: number;
  readonly routingPolicy: RoutingPolicy;
  /** Number of agents to link to for each model and service. */
  readonly linksPerTarget: number;
}
