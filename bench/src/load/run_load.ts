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
  /** Start of each prompt; keeps runs from sharing cached prefixes. */
  readonly promptPrefix: string;
  /** Time after which a caller disconnects. */
  readonly timeoutMs?: number;
}

/** Sends requests at their planned times, without waiting for answers. */
export async function runLoad(options: LoadOptions): Promise<LoadOutcome[]> {
  const {deployment, requests, promptPrefix, timeoutMs} = options;
  const {workspaces} = deployment.options;
  const callers = workspaces.map(workspace =>
    deployment.entries.map(entry =>
      createCaller(() => entry.baseUrl, workspace),
    ),
  );
  const startedAt = performance.now();
  const send = async (request: PlannedRequest): Promise<LoadOutcome> => {
    await sleep(
      Math.max(0, request.sendAtMs - (performance.now() - startedAt)),
    );
    const byEntry = callers[request.workspace % workspaces.length];
    const caller = byEntry[request.id % byEntry.length];
    const {promptTokens, maxTokens, id} = request;
    const prompt = makePrompt(promptTokens, `${promptPrefix} ${id};`);
    const answer = await caller.complete({prompt, maxTokens, timeoutMs});
    const isCorrect =
      answer.complete && answer.text === expectedText(prompt, maxTokens);
    const endedAtMs = performance.now() - startedAt;
    return {request, answer, isCorrect, endedAtMs};
  };
  return Promise.all(requests.map(send));
}
