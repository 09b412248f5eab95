import type {HashFunction} from '../shared/hash_function.js';
import type {RandomSource} from '../shared/random_source.js';
import type {RoutingPolicy} from './routing_policy.js';

/** What a request asks of routing. */
export interface RouteQuery {
  readonly target: string;
  readonly kind: 'model-engine' | 'plain-service';
  readonly promptTokens: number;
  readonly totalTokens: number;
  readonly affinityKey: string;
  readonly region: string;
  readonly zone: string;
  readonly exclude: readonly string[];
  readonly policy: RoutingPolicy;
  readonly now: number;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  /** Counter that round robin advances by. */
  readonly roundRobinCounter: number;
}
