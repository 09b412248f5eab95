import type {
  HashFunction,
  RandomSource,
  WorkChange,
  ZoneSettings,
} from '@figfall/decisions';
import type {RateLimits} from './rate_limits.js';
import type {Suspects} from './suspects.js';

type RateLimitsOptions = ConstructorParameters<typeof RateLimits>[0];

/** Options of a gateway's fleet. */
export interface FleetOptions {
  /** Unique id of this gateway's process, as owner of its work. */
  readonly owner: string;
  /** Availability zone of this gateway; its servers are preferred. */
  readonly zone: string;
  /** Costs of leaving the zone, as set now. @default fixed costs */
  readonly zoneSettings?: () => ZoneSettings;
  readonly random: RandomSource;
  readonly now: () => number;
  /** Called when a server will be avoided, for `ms` milliseconds or for good. */
  readonly onAvoided: (serverId: string, reason: string, ms?: number) => void;
  /** Called when the request rate that a server takes has changed. */
  readonly onLimit: RateLimitsOptions['onLimit'];
  /** Id of this gateway among all gateways. */
  readonly gatewayId: string;
  readonly hash: HashFunction;
  /** Sends a message about permits to a linked gateway. */
  readonly sendPermits: RateLimitsOptions['sendPermits'];
  /** Called when a request, or prompts with a part, begin or cease to be refused. */
  readonly onSuspect: ConstructorParameters<typeof Suspects>[0]['onSuspect'];
  /** Sends a change of this gateway's work to other gateways. */
  readonly announce: (change: WorkChange) => void;
}
