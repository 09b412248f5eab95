import type {startDeployment} from '@figfall/playground';
import type {LoadOutcome} from './load_outcome.js';
import type {PlannedRequest} from './planned_request.js';
import {runLoad} from './run_load.js';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

/** Sends requests one after the other, so that no request queues. */
export async function runSequentially(
  deployment: Deployment,
  requests: readonly PlannedRequest[],
  promptPrefix: string,
): Promise<LoadOutcome[]> {
  const outcomes: LoadOutcome[] = [];
  for (const request of requests) {
    const immediate = [{...request, sendAtMs: 0}];
    outcomes.push(
      ...(await runLoad({deployment, requests: immediate, promptPrefix})),
    );
  }
  return outcomes;
}
