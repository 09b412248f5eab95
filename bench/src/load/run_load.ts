import {
  createCaller,
  expectedText,
  makePrompt,
  sleep,
} from '@figfall/playground';
import type {startDeployment} from '@figfall/playground';
import type {LoadOutcome} from './load_outcome.js';
import type {PlannedRequest} from './planned_request.js';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

interface LoadOptions {
  readonly deployment: Deployment;
  readonly requests: readonly PlannedRequest[];
  /** Text that makes the prompts of this run unlike those of others. */
  readonly salt: string;
  readonly timeoutMs?: number;
}

/** Sends a workload at its planned times, whatever the answers do. */
export async function runLoad(options: LoadOptions): Promise<LoadOutcome[]> {
  const {deployment, requests, salt, timeoutMs} = options;
  const {workspaces} = deployment.options;
  const callers = workspaces.map(workspace =>
    deployment.entries.map(entry =>
      createCaller(() => entry.baseUrl, workspace),
    ),
  );
  const startedAt = performance.now();
  const send = async (request: PlannedRequest): Promise<LoadOutcome> => {
    await sleep(Math.max(0, request.at - (performance.now() - startedAt)));
    const byEntry = callers[request.workspace % workspaces.length];
    const caller = byEntry[request.id % byEntry.length];
    const {promptTokens, maxTokens, id} = request;
    const prompt = makePrompt(promptTokens, `${salt} ${id};`);
    const answer = await caller.complete({prompt, maxTokens, timeoutMs});
    const isRight =
      answer.complete && answer.text === expectedText(prompt, maxTokens);
    const endedAt = performance.now() - startedAt;
    return {request, answer, isRight, endedAt};
  };
  return Promise.all(requests.map(send));
}
