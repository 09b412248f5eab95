import type {BackendRun, CallerOutcome} from '@figfall/gateway-server/testing';
import {runsOf} from './runs_of.js';

/**
 * Finds the run of a request that ended last, of those that began before its
 * connection ended. Two servers may run it side by side.
 */
export function findLastRun(
  outcome: CallerOutcome,
  runs: readonly BackendRun[],
): BackendRun | undefined {
  return runsOf(outcome, runs)
    .toSorted((a, b) => a.endedAt - b.endedAt)
    .at(-1);
}
