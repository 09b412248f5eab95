import {
  createCaller,
  expectedText,
  makePrompt,
  waitFor,
} from '@figfall/playground';
import {openDeployment} from '../load/open_deployment.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {SIZES} from './sizes.js';

const PROMPTS = 6;
const PROMPT_TOKENS = 250_000;
const ENGINE_TOKENS = 120_000;
const ENGINES = 6;
const POLICY = 'figfall';

/** Prompts beyond one engine's memory, several at once. */
export const oversized: Scenario = {
  summary: "prompts of more than twice one engine's memory, six at once",
  run: async ({size}) => {
    const base = SIZES[size];
    const deployment = await openDeployment({
      ...base,
      engines: ENGINES,
      engine: {
        ...base.engine,
        totalTokens: ENGINE_TOKENS,
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
    const right = answers.filter(
      ({text}, i) => text === expectedText(prompts[i], 8),
    );
    const held = () =>
      deployment.engines.reduce((sum, engine) => {
        const {totalTokens, freeTokens} = engine.load();
        return sum + totalTokens - freeTokens;
      }, 0);
    await waitFor('memory is free', () => held() === 0, 10_000).catch(
      () => undefined,
    );
    const leaked = held();
    await deployment.close();
    const wrong = PROMPTS - right.length;
    const firstTokens = right.map(({firstTokenMs}) => firstTokenMs ?? 0);
    return {
      rows: [
        ...quantileRows(POLICY, 'first token', firstTokens, 'ms'),
        {
          policy: POLICY,
          metric: 'not answered whole',
          value: wrong,
          unit: 'requests',
        },
        {
          policy: POLICY,
          metric: 'memory not freed',
          value: leaked,
          unit: 'tokens',
        },
      ],
      targets: [
        atMost('not answered whole', wrong, 0),
        atMost('memory not freed', leaked, 0),
      ],
      broken: leaked > 0 ? ['engines lost memory'] : [],
    };
  },
};
