import {
  createCaller,
  makePrompt,
  startDeployment,
  waitFor,
} from '@figfall/playground';
import type {DeploymentOptions} from '@figfall/playground';

const WARM_UP_PROMPT_TOKENS = 300;

/** Generations of an engine after which its cold-start limit has ended. */
const WARM_UP_GENERATIONS = 40;

/**
 * Starts a deployment and sends requests until every engine is warm. Throws if
 * that takes more than a minute.
 */
export async function startWarmDeployment(options: DeploymentOptions) {
  const deployment = await startDeployment(options);
  const callers = deployment.entries.map(entry =>
    createCaller(() => entry.baseUrl, deployment.options.workspaces[0]),
  );
  const {engines} = deployment;
  let round = 0;
  await waitFor(
    'all engines are warm',
    async () => {
      round += 1;
      const count = engines.length * 3;
      await Promise.all(
        Array.from({length: count}, (_, i) =>
          callers[i % callers.length].complete({
            prompt: makePrompt(WARM_UP_PROMPT_TOKENS, `warm ${round} ${i}`),
            maxTokens: 2,
          }),
        ),
      );
      const fewest = Math.min(...engines.map(e => e.counts.generations));
      return fewest >= WARM_UP_GENERATIONS;
    },
    60_000,
  );
  return deployment;
}
