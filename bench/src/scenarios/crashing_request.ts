import {createCaller, makePrompt, sleep} from '@figfall/playground';
import {makeWorkload} from '../load/make_workload.js';
import {openDeployment} from '../load/open_deployment.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import type {Scenario} from './scenario.js';
import {SIZES} from './sizes.js';

const DURATION_MS = 8_000;
const RESENDS = 30;
const RESEND_MS = 200;
const CRASHES_MAX = 2;
const POLICY = 'figfall';

/** One request that crashes each engine, sent again and again. */
export const crashingRequest: Scenario = {
  summary: 'one request crashes every engine that runs it, sent 30 times',
  run: async ({seed, size}) => {
    const base = SIZES[size];
    const deployment = await openDeployment(base);
    const callers = deployment.entries.map(entry =>
      createCaller(() => entry.baseUrl, base.workspaces[0]),
    );
    const requests = makeWorkload({
      seed,
      durationMs: DURATION_MS,
      requestsPerSecond: 25,
      workspaces: base.workspaces.length,
      maxTokens: 20,
      longShare: 0,
    });
    const prompt = makePrompt(1_500, '[[crash]]');
    const poison = async () => {
      for (let i = 0; i < RESENDS; i++) {
        await callers[i % callers.length].complete({prompt});
        await sleep(RESEND_MS);
      }
    };
    const [outcomes] = await Promise.all([
      runLoad({deployment, requests, salt: 'crash'}),
      poison(),
    ]);
    const crashes = deployment.engines
      .map(engine => Number(engine.load().incarnation) - 1)
      .reduce((sum, n) => sum + n, 0);
    await deployment.close();
    const failed = outcomes.filter(({isRight}) => !isRight);
    const lost = failed.filter(({answer}) => answer.ran !== 'no').length;
    return {
      rows: [
        {
          policy: POLICY,
          metric: 'engines crashed',
          value: crashes,
          unit: 'engines',
        },
        {
          policy: POLICY,
          metric: 'other requests lost',
          value: lost,
          unit: 'requests',
        },
        {
          policy: POLICY,
          metric: 'other requests refused',
          value: failed.length - lost,
          unit: 'requests',
        },
      ],
      targets: [
        atMost('engines crashed', crashes, CRASHES_MAX),
        atMost('other requests lost', lost, 0),
      ],
      broken: lost > 0 ? [`${lost} other requests were lost`] : [],
    };
  },
};
