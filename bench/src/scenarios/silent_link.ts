import {sleep} from '@figfall/playground';
import {makeWorkload} from '../load/make_workload.js';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const DURATION_MS = 8_000;
const SILENCE_AT_MS = 3_000;
const POLICY = 'figfall';

/** All open links permanently stop delivering data, while new connections work. */
export const silentLink: Scenario = {
  summary: 'open links permanently stop delivering data; new connections work',
  run: async ({seed, size}) => {
    const base = DEPLOYMENT_SIZES[size];
    const options = {...base, engines: 6, relays: true};
    const deployment = await startWarmDeployment(options);
    const requests = makeWorkload({
      seed,
      durationMs: DURATION_MS,
      requestsPerSecond: 15,
      workspaces: base.workspaces.length,
      maxTokens: 40,
      longShare: 0,
    });
    const silenceLinks = async () => {
      await sleep(SILENCE_AT_MS);
      deployment.agents.forEach(({relay}) => relay?.stallConnections());
    };
    const countGenerations = () =>
      deployment.engines.reduce((n, {counts}) => n + counts.generations, 0);
    const generationsBefore = countGenerations();
    const [outcomes] = await Promise.all([
      runLoad({deployment, requests, promptPrefix: 'silent'}),
      silenceLinks(),
    ]);
    const extraGenerations =
      countGenerations() - generationsBefore - requests.length;
    await deployment.close();
    const lost = outcomes.filter(({isCorrect}) => !isCorrect).length;
    const gaps = outcomes.map(({answer}) => answer.maxGapMs ?? 0);
    return {
      rows: [
        {
          policy: POLICY,
          metric: 'not answered whole',
          value: lost,
          unit: 'requests',
        },
        {
          policy: POLICY,
          metric: 'generations beyond one a request',
          value: extraGenerations,
          unit: 'generations',
        },
        ...quantileRows(POLICY, 'longest gap between tokens', gaps, 'ms'),
      ],
      targets: [atMost('not answered whole', lost, 0)],
      broken: lost > 0 ? [`${lost} requests were not answered whole`] : [],
    };
  },
};
