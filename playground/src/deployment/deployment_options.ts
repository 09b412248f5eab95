import type {RoutingPolicy} from '@figfall/decisions';
import type {EngineOptions} from '../engine/engine_options.js';
import type {PlatformFaults} from '../platform/platform_faults.js';

/** Options of a deployment in one process. */
export interface DeploymentOptions {
  /** @default 'mitte' */
  readonly region?: string;
  /** @default ['nord', 'werk', 'sued'] */
  readonly zones?: readonly string[];
  /** Model engines, spread over the zones. @default 3 */
  readonly engines?: number;
  /** Instances of the plain service, spread over the zones. @default 3 */
  readonly services?: number;
  /** @default 2 */
  readonly entries?: number;
  /** @default ['lindenau'] */
  readonly workspaces?: readonly string[];
  readonly engine?: Partial<EngineOptions>;
  /** Where the weights of the model are. @default a plain name */
  readonly weights?: string;
  readonly platform?: Partial<PlatformFaults>;
  /** Requests that an engine bears, warm and cold. */
  readonly running?: number;
  readonly coldRunning?: number;
  /** Milliseconds that a call of the plain service takes. */
  readonly serviceDelayMs?: number;
  readonly policy?: RoutingPolicy;
  readonly linksPerTarget?: number;
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  readonly traceExporter?: 'none' | 'console' | 'otlp';
  /** Puts a relay before each agent, to lose connections. @default false */
  readonly relays?: boolean;
  /** Port of the first entry; 0 chooses a free one. */
  readonly httpPort?: number;
}
