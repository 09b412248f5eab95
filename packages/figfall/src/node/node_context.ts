import type {HashFunction, RandomSource} from '@figfall/decisions';
import type {LinkOptions, NodeIdentity} from '@figfall/node-link';
import type {PlatformClient} from '@figfall/platform';
import type {Logger} from '@figfall/observability';
import type {Metrics} from '@figfall/observability';
import type {Tracing} from '@figfall/observability';
import type {NodeSettings} from './node_settings.js';

/** Dependencies that all parts of a node share. */
export interface NodeContext {
  readonly settings: NodeSettings;
  readonly identity: NodeIdentity;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  readonly platform: PlatformClient;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly linkOptions: LinkOptions;
}
