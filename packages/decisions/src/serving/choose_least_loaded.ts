import type {Candidate} from './candidate.js';

/** Cost of another availability zone, in running requests. */
const REMOTE_ZONE_COST = 0.25;

/** Cost of a server that fails all requests, in running requests. */
const FAILURE_COST = 12;

/**
 * Chooses the backend server of a plain service with the fewest running
 * requests, weighing in recent failures and the distance. Meant for short
 * requests of similar cost, where some servers fail or are slow.
 */
export function chooseLeastLoaded(
  candidates: readonly Candidate[],
  zone: string,
  random: () => number,
): Candidate | undefined {
  return candidates
    .map(candidate => {
      const {server, load, failureRate} = candidate;
      const zoneCost = server.zone === zone ? 0 : REMOTE_ZONE_COST;
      const failureCost = failureRate * FAILURE_COST;
      const tieBreaker = random() * REMOTE_ZONE_COST;
      return {
        candidate,
        cost: load.running + zoneCost + failureCost + tieBreaker,
      };
    })
    .sort((a, b) => a.cost - b.cost)[0]?.candidate;
}
