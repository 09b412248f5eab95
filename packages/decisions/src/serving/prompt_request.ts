import type {EngineProfile} from './engine_profile.js';
import type {RandomSource} from '../shared/random_source.js';
import type {PromptZones} from '../zones/prompt_zones.js';
import type {PriorityLevel} from './priority_level.js';
import type {PromptDemand} from './prompt_demand.js';

/** A prompt to be placed on model engines. */
export interface PromptRequest {
  readonly engine: EngineProfile;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time in milliseconds within which the first event is on time. */
  readonly latencyTargetMs: number;
  /** Longest pause in milliseconds between events that the caller accepts. */
  readonly pauseMs: number;
  /** Availability zone of the gateway. */
  readonly zone: string;
  /** Time in milliseconds since the prompt arrived at the gateway. */
  readonly waitedMs: number;
  /** Time in milliseconds that the caller waits for the first or next event. */
  readonly eventTimeoutMs: number;
  /** Time in ms since the last event, if the stream has begun. */
  readonly sinceLastEventMs?: number;
  /** Its urgency among the requests of the service. @default one level */
  readonly priority?: PriorityLevel;
  /** Lowest rank of the other queued prompts; Infinity if there are none. */
  readonly lowestOtherRank: number;
  /**
   * Demand of short and of long prompts.
   *
   * @default judged by the running streams only
   */
  readonly demand?: PromptDemand;
  /**
   * Chooses among servers of about the same cost.
   *
   * @default the cheapest, in the order of the candidates
   */
  readonly random?: RandomSource;
  /** Costs of leaving the zone. @default a fixed cost of a request */
  readonly zones?: PromptZones;
}
