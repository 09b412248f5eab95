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
  /** Options of every fake engine. */
  readonly engine?: Partial<EngineOptions>;
  /**
   * Location of the model's weights. An engine downloads them if this is a URL.
   *
   * @default 'weights/log-summary/1'
   */
  readonly weights?: string;
  /** Initial faults of the fake platform. */
  readonly platform?: Partial<PlatformFaults>;
  /** Limit of running requests of a warm engine. @default 16 */
  readonly running?: number;
  /** Limit of running requests of a cold engine. @default 2 */
  readonly coldRunning?: number;
  /** Milliseconds that a call of the plain service takes. @default 0 */
  readonly serviceDelayMs?: number;
  /** @default 'figfall' */
  readonly policy?: RoutingPolicy;
  /** @default 16 */
  readonly linksPerTarget?: number;
  /** @default 'silent' */
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** @default 'none' */
  readonly traceExporter?: 'none' | 'console' | 'otlp';
  /** Puts a relay that can inject faults before each agent. @default false */
  readonly relays?: boolean;
  /** Port of the first entry; 0 chooses a free one. @default 0 */
  readonly httpPort?: number;
}
