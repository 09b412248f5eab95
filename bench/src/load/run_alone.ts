import type {startDeployment} from '@figfall/playground';
import type {LoadOutcome} from './load_outcome.js';
import type {PlannedRequest} from './planned_request.js';
import {runLoad} from './run_load.js';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

/** Sends requests one after the other, so that none waits for another. */
export async function runAlone(
  deployment: Deployment,
  requests: readonly PlannedRequest[],
  salt: string,
): Promise<LoadOutcome[]> {
  const outcomes: LoadOutcome[] = [];
  for (const request of requests) {
    const now = [{...request, at: 0}];
    outcomes.push(...(await runLoad({deployment, requests: now, salt})));
  }
  return outcomes;
}
