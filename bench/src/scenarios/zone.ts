import {sleep} from '@figfall/playground';
import {makeWorkload} from '../load/make_workload.js';
import {openDeployment} from '../load/open_deployment.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {SIZES} from './sizes.js';

const OUT_AT_MS = 4_000;
const IN_AT_MS = 9_000;
const DURATION_MS = 14_000;
const REQUESTS_PER_SECOND = 40;
const SAMPLE_MS = 10;
const POLICY = 'figfall';
const MS_PER_SECOND = 1_000;

/** Service while an availability zone leaves and returns. */
export const zone: Scenario = {
  summary: 'an availability zone is taken out under load and brought back',
  run: async ({seed, size}) => {
    const options = SIZES[size];
    const [name] = options.zones;
    const deployment = await openDeployment(options);
    const own = deployment.engines.filter(
      (_, i) => i % options.zones.length === 0,
    );
    const work = () =>
      own.reduce((sum, {counts}) => sum + counts.generations, 0);
    const startedAt = performance.now();
    const now = () => performance.now() - startedAt;
    let lastDispatchAt = 0;
    let firstBackAt = 0;
    let seen = work();
    const sampler = setInterval(() => {
      if (work() === seen) return;
      seen = work();
      if (now() < IN_AT_MS) lastDispatchAt = now();
      else if (firstBackAt === 0) firstBackAt = now();
    }, SAMPLE_MS);
    const requests = makeWorkload({
      seed,
      durationMs: DURATION_MS,
      requestsPerSecond: REQUESTS_PER_SECOND,
      workspaces: options.workspaces.length,
      maxTokens: 20,
      longShare: 0.02,
    });
    const operate = async () => {
      await sleep(OUT_AT_MS);
      await deployment.setZone(name, 'out');
      await sleep(IN_AT_MS - OUT_AT_MS);
      await deployment.setZone(name, 'in');
    };
    const [outcomes] = await Promise.all([
      runLoad({deployment, requests, salt: 'zone'}),
      operate(),
    ]);
    clearInterval(sampler);
    await deployment.close();
    const failed = outcomes.filter(({isRight}) => !isRight);
    const lost = failed.filter(({answer}) => answer.ran !== 'no').length;
    const ends = outcomes
      .filter(({isRight}) => isRight)
      .map(({endedAt}) => endedAt)
      .sort((a, b) => a - b);
    const gaps = ends.slice(1).map((at, i) => at - ends[i]);
    const lastSeconds = Math.max(0, lastDispatchAt - OUT_AT_MS) / MS_PER_SECOND;
    const firstTokens = outcomes
      .filter(({isRight}) => isRight)
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
          value: lastSeconds,
          unit: 's',
        },
        {
          policy: POLICY,
          metric: 'first dispatch after in',
          value: Math.max(0, firstBackAt - IN_AT_MS) / MS_PER_SECOND,
          unit: 's',
        },
        ...quantileRows(POLICY, 'first token', firstTokens, 'ms'),
      ],
      targets: [
        atMost('admitted requests lost', lost, 0),
        atMost('seconds until the last new dispatch', lastSeconds, 2),
      ],
      broken: lost > 0 ? [`${lost} admitted requests were lost`] : [],
    };
  },
};
