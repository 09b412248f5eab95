import {createCaller, makePrompt, sleep} from '@figfall/playground';
import {makeWorkload} from '../load/make_workload.js';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const DURATION_MS = 8_000;
const SENDS = 30;
const SEND_INTERVAL_MS = 200;
const CRASHES_MAX = 2;
const POLICY = 'figfall';

/** A request that crashes every engine that runs it, sent repeatedly. */
export const crashingRequest: Scenario = {
  summary: 'one request crashes every engine that runs it, sent 30 times',
  run: async ({seed, size}) => {
    const base = DEPLOYMENT_SIZES[size];
    const deployment = await startWarmDeployment(base);
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
    const sendCrashingRequest = async () => {
      for (let i = 0; i < SENDS; i++) {
        await callers[i % callers.length].complete({prompt});
        await sleep(SEND_INTERVAL_MS);
      }
    };
    const [outcomes] = await Promise.all([
      runLoad({deployment, requests, promptPrefix: 'crash'}),
      sendCrashingRequest(),
    ]);
    const crashes = deployment.engines
      .map(engine => Number(engine.load().incarnation) - 1)
      .reduce((sum, n) => sum + n, 0);
    await deployment.close();
    const failed = outcomes.filter(({isCorrect}) => !isCorrect);
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
