import type {HashFunction} from '../shared/hash_function.js';
import type {RandomSource} from '../shared/random_source.js';
import type {RoutingPolicy} from './routing_policy.js';

/** Input of routing for one request. */
export interface RouteQuery {
  /** Name of the model or service. */
  readonly target: string;
  readonly kind: 'model-engine' | 'plain-service';
  readonly promptTokens: number;
  /** Prompt tokens and the largest number of output tokens. */
  readonly totalTokens: number;
  /** Requests with equal keys prefer the same agents. */
  readonly affinityKey: string;
  /** Region of the entry. */
  readonly region: string;
  /** Availability zone of the entry. */
  readonly zone: string;
  /** Ids of the agents that must not be chosen. */
  readonly exclude: readonly string[];
  readonly policy: RoutingPolicy;
  /** Current time in milliseconds. */
  readonly now: number;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  /** Counter that increases with each choice; used by round robin. */
  readonly roundRobinCounter: number;
}
