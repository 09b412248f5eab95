import {
  createCaller,
  expectedText,
  makePrompt,
  waitFor,
} from '@figfall/playground';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const PROMPTS = 6;
const PROMPT_TOKENS = 250_000;
const ENGINE_MEMORY_TOKENS = 120_000;
const ENGINES = 6;
const POLICY = 'figfall';

/** Concurrent prompts that exceed the memory of one engine. */
export const oversized: Scenario = {
  summary: "prompts of more than twice one engine's memory, six concurrently",
  run: async ({size}) => {
    const base = DEPLOYMENT_SIZES[size];
    const deployment = await startWarmDeployment({
      ...base,
      engines: ENGINES,
      engine: {
        ...base.engine,
        totalTokens: ENGINE_MEMORY_TOKENS,
        prefillRate: 200_000,
      },
    });
    const callers = deployment.entries.map(entry =>
      createCaller(() => entry.baseUrl, base.workspaces[0]),
    );
    const prompts = Array.from({length: PROMPTS}, (_, i) =>
      makePrompt(PROMPT_TOKENS, `oversized ${i}`),
    );
    const answers = await Promise.all(
      prompts.map((prompt, i) =>
        callers[i % callers.length].complete({prompt, maxTokens: 8}),
      ),
    );
    const correct = answers.filter(
      ({text}, i) => text === expectedText(prompts[i], 8),
    );
    const countUsedTokens = () =>
      deployment.engines.reduce((sum, engine) => {
        const {totalTokens, freeTokens} = engine.load();
        return sum + totalTokens - freeTokens;
      }, 0);
    await waitFor(
      'engines free their memory',
      () => countUsedTokens() === 0,
      10_000,
    ).catch(() => undefined);
    const leakedTokens = countUsedTokens();
    await deployment.close();
    const failedCount = PROMPTS - correct.length;
    const firstTokens = correct.map(({firstTokenMs}) => firstTokenMs ?? 0);
    return {
      rows: [
        ...quantileRows(POLICY, 'first token', firstTokens, 'ms'),
        {
          policy: POLICY,
          metric: 'not answered whole',
          value: failedCount,
          unit: 'requests',
        },
        {
          policy: POLICY,
          metric: 'memory not freed',
          value: leakedTokens,
          unit: 'tokens',
        },
      ],
      targets: [
        atMost('not answered whole', failedCount, 0),
        atMost('memory not freed', leakedTokens, 0),
      ],
      broken:
        leakedTokens > 0 ? ['engines did not free all of their memory'] : [],
    };
  },
};
