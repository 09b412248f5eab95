import {
  createCaller,
  makePrompt,
  startDeployment,
  waitFor,
} from '@figfall/playground';
import type {DeploymentOptions} from '@figfall/playground';

const WARM_TOKENS = 300;

/** Generations after which the door of an engine is fully open. */
const WARM_GENERATIONS = 40;

/** Starts a deployment and waits until every backend server is warm. */
export async function openDeployment(options: DeploymentOptions) {
  const deployment = await startDeployment(options);
  const callers = deployment.entries.map(entry =>
    createCaller(() => entry.baseUrl, deployment.options.workspaces[0]),
  );
  const {engines} = deployment;
  let turn = 0;
  await waitFor(
    'all engines are warm',
    async () => {
      turn += 1;
      const count = engines.length * 3;
      await Promise.all(
        Array.from({length: count}, (_, i) =>
          callers[i % callers.length].complete({
            prompt: makePrompt(WARM_TOKENS, `warm ${turn} ${i}`),
            maxTokens: 2,
          }),
        ),
      );
      const least = Math.min(...engines.map(e => e.counts.generations));
      return least >= WARM_GENERATIONS;
    },
    60_000,
  );
  return deployment;
}
