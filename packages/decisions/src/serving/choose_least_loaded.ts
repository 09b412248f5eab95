import type {Candidate} from './candidate.js';

/** Running requests that a distance of one availability zone is worth. */
const ZONE_WORTH = 0.25;

/** Running requests that a server which fails all requests is worth. */
const FAILURE_WORTH = 12;

/**
 * Chooses the backend server of a plain service with the least work for its
 * slots. Load: short requests of like cost, where some servers fail or are
 * slow.
 */
export function chooseLeastLoaded(
  candidates: readonly Candidate[],
  zone: string,
  random: () => number,
): Candidate | undefined {
  return candidates
    .map(candidate => {
      const {server, load, failureRate: failureShare} = candidate;
      const distance = server.zone === zone ? 0 : ZONE_WORTH;
      const failures = failureShare * FAILURE_WORTH;
      const tie = random() * ZONE_WORTH;
      return {candidate, cost: load.running + distance + failures + tie};
    })
    .sort((a, b) => a.cost - b.cost)[0]?.candidate;
}
