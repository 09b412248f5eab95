import {sleep} from '@figfall/playground';
import {makeWorkload} from '../load/make_workload.js';
import {openDeployment} from '../load/open_deployment.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {SIZES} from './sizes.js';

const DURATION_MS = 8_000;
const SILENT_AT_MS = 3_000;
const POLICY = 'figfall';

/** All links go silent for good while new connections work. */
export const silentLink: Scenario = {
  summary: 'all open links go silent for good; new connections work',
  run: async ({seed, size}) => {
    const base = SIZES[size];
    const options = {...base, engines: 6, relays: true};
    const deployment = await openDeployment(options);
    const requests = makeWorkload({
      seed,
      durationMs: DURATION_MS,
      requestsPerSecond: 15,
      workspaces: base.workspaces.length,
      maxTokens: 40,
      longShare: 0,
    });
    const silence = async () => {
      await sleep(SILENT_AT_MS);
      deployment.agents.forEach(({relay}) => relay?.stallConnections());
    };
    const generations = () =>
      deployment.engines.reduce((n, {counts}) => n + counts.generations, 0);
    const before = generations();
    const [outcomes] = await Promise.all([
      runLoad({deployment, requests, salt: 'silent'}),
      silence(),
    ]);
    const reruns = generations() - before - requests.length;
    await deployment.close();
    const lost = outcomes.filter(({isRight}) => !isRight).length;
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
          value: reruns,
          unit: 'generations',
        },
        ...quantileRows(POLICY, 'longest gap between tokens', gaps, 'ms'),
      ],
      targets: [atMost('not answered whole', lost, 0)],
      broken: lost > 0 ? [`${lost} requests were not answered whole`] : [],
    };
  },
};
