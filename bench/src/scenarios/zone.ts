import {sleep} from '@figfall/playground';
import {makeWorkload} from '../load/make_workload.js';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const ZONE_OUT_AT_MS = 4_000;
const ZONE_IN_AT_MS = 9_000;
const DURATION_MS = 14_000;
const REQUESTS_PER_SECOND = 40;
const SAMPLE_MS = 10;
const POLICY = 'figfall';
const MS_PER_SECOND = 1_000;

/** Answers while an availability zone is taken out of service and back. */
export const zone: Scenario = {
  summary: 'an availability zone is taken out of service under load and back',
  run: async ({seed, size}) => {
    const options = DEPLOYMENT_SIZES[size];
    const [zoneName] = options.zones;
    const deployment = await startWarmDeployment(options);
    const zoneEngines = deployment.engines.filter(
      (_, i) => i % options.zones.length === 0,
    );
    const countGenerations = () =>
      zoneEngines.reduce((sum, {counts}) => sum + counts.generations, 0);
    const startedAt = performance.now();
    const elapsedMs = () => performance.now() - startedAt;
    let lastDispatchAt = 0;
    let firstDispatchAt = 0;
    let lastCount = countGenerations();
    const sampler = setInterval(() => {
      if (countGenerations() === lastCount) return;
      lastCount = countGenerations();
      if (elapsedMs() < ZONE_IN_AT_MS) lastDispatchAt = elapsedMs();
      else if (firstDispatchAt === 0) firstDispatchAt = elapsedMs();
    }, SAMPLE_MS);
    const requests = makeWorkload({
      seed,
      durationMs: DURATION_MS,
      requestsPerSecond: REQUESTS_PER_SECOND,
      workspaces: options.workspaces.length,
      maxTokens: 20,
      longShare: 0.02,
    });
    const changeZone = async () => {
      await sleep(ZONE_OUT_AT_MS);
      await deployment.setZone(zoneName, 'out');
      await sleep(ZONE_IN_AT_MS - ZONE_OUT_AT_MS);
      await deployment.setZone(zoneName, 'in');
    };
    const [outcomes] = await Promise.all([
      runLoad({deployment, requests, promptPrefix: 'zone'}),
      changeZone(),
    ]);
    clearInterval(sampler);
    await deployment.close();
    const failed = outcomes.filter(({isCorrect}) => !isCorrect);
    const lost = failed.filter(({answer}) => answer.ran !== 'no').length;
    const answerEnds = outcomes
      .filter(({isCorrect}) => isCorrect)
      .map(({endedAtMs}) => endedAtMs)
      .sort((a, b) => a - b);
    const gaps = answerEnds.slice(1).map((at, i) => at - answerEnds[i]);
    const lastDispatchSeconds =
      Math.max(0, lastDispatchAt - ZONE_OUT_AT_MS) / MS_PER_SECOND;
    const firstTokens = outcomes
      .filter(({isCorrect}) => isCorrect)
      .map(({answer}) => answer.firstTokenMs ?? 0);
    return {
      rows: [
        {
          policy: POLICY,
          metric: 'refused',
          value: failed.length - lost,
          unit: 'requests',
        },
        {policy: POLICY, metric: 'lost', value: lost, unit: 'requests'},
        {
          policy: POLICY,
          metric: 'longest gap between answers',
          value: Math.max(...gaps),
          unit: 'ms',
        },
        {
          policy: POLICY,
          metric: 'last new dispatch after out',
          value: lastDispatchSeconds,
          unit: 's',
        },
        {
          policy: POLICY,
          metric: 'first dispatch after in',
          value: Math.max(0, firstDispatchAt - ZONE_IN_AT_MS) / MS_PER_SECOND,
          unit: 's',
        },
        ...quantileRows(POLICY, 'first token', firstTokens, 'ms'),
      ],
      targets: [
        atMost('admitted requests lost', lost, 0),
        atMost('seconds until the last new dispatch', lastDispatchSeconds, 2),
      ],
      broken: lost > 0 ? [`${lost} admitted requests were lost`] : [],
    };
  },
};
