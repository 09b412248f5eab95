import type {BackendRun, CallerOutcome} from '@figfall/gateway-server/testing';
import {runsOf} from './runs_of.js';

/** Servers to which the soak's routes of streams allow a request to be sent. */
const ATTEMPTS_MAX = 2;

/**
 * True if a request was sent to as many servers as its route allows, and each of
 * them failed or broke it off, so that no other could go on with it.
 */
export function areAttemptsSpent(
  outcome: CallerOutcome,
  runs: readonly BackendRun[],
): boolean {
  const {endedAt} = outcome;
  const own = runsOf(outcome, runs);
  const hasFailed = ({end, endedAt: runEndedAt}: BackendRun): boolean =>
    (end === 'failed' || end === 'broken-off') && runEndedAt <= endedAt;
  return own.length >= ATTEMPTS_MAX && own.every(hasFailed);
}
