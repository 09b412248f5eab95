import type {BackendRun, CallerOutcome} from '@figfall/gateway-server/testing';

/** The runs of a request that began before its connection ended. */
export function runsOf(
  {requestId, endedAt}: CallerOutcome,
  runs: readonly BackendRun[],
): readonly BackendRun[] {
  return runs.filter(run => run.requestId === requestId && run.at <= endedAt);
}
