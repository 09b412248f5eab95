import type {Candidate} from '../serving/candidate.js';
import {chooseLeastLoaded} from '../serving/choose_least_loaded.js';
import {placementCosts} from '../serving/placement_costs.js';
import type {PriorityLevel} from '../serving/priority_level.js';
import type {RandomSource} from '../shared/random_source.js';
import {decideZone} from './decide_zone.js';
import {expectedBytes} from './expected_bytes.js';
import type {ZonePolicy} from './zone_policy.js';
import {zonePrice} from './zone_price.js';

interface PlainRequest {
  readonly policy: ZonePolicy;
  /** Availability zone of the gateway. */
  readonly zone: string;
  readonly bodyBytes: number;
  readonly latencyTargetMs: number;
  readonly priority?: PriorityLevel;
  /** Time for which a request takes a slot; 0 if that is not known. */
  readonly meanMs: number;
  readonly isKnown: (zone: string) => boolean;
  readonly random: RandomSource;
}

/**
 * Chooses the zone of a plain request by the waits predicted there, and the
 * least loaded server of this zone. Answers load that the servers of one zone
 * can't hold.
 */
export function planPlainRequest(
  candidates: readonly Candidate[],
  request: PlainRequest,
) {
  const {policy, zone, bodyBytes, meanMs, isKnown, random} = request;
  const runMs = ({server, load}: Candidate) =>
    meanMs +
    (Math.max(0, load.running + 1 - server.slots) / server.slots) * meanMs;
  const lateness = (ms: number) =>
    placementCosts.lateness({...request, promptTokens: 0}, ms);
  const decision = decideZone({
    zone,
    candidates,
    waitCost: candidate =>
      lateness(runMs(candidate)) + placementCosts.failure(candidate),
    price: candidate =>
      zonePrice(policy, {
        from: zone,
        to: candidate.server.zone,
        bytes: expectedBytes.plain(bodyBytes),
        delayCost: ms =>
          lateness(runMs(candidate) + ms) - lateness(runMs(candidate)),
      }),
    prefillMs: 0,
    isKnown,
    random,
  });
  const inZone = candidates.filter(
    ({server}) => server.zone === decision?.zone,
  );
  return {chosen: chooseLeastLoaded(inZone, zone, random), decision};
}
