import {makeWorkload} from '../load/make_workload.js';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import {runLoad} from '../load/run_load.js';
import {sleep} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import type {BenchTarget} from '../results/bench_target.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const ENTRIES = 6;
const DURATION_MS = 8_000;
const COLD_START_AT_MS = 3_000;
const REQUESTS_PER_SECOND = 60;
const POLICY = 'figfall';

/** Only `restart` restarts the engine; load reports hide a `silent` cold start. */
type ColdStartCause = 'restart' | 'announced' | 'silent';

/** Measures by how much calls exceed the cold capacity of engines. */
async function measureColdStart(
  cause: ColdStartCause,
  seed: number,
  size: keyof typeof DEPLOYMENT_SIZES,
): Promise<{rows: BenchRow[]; targets: BenchTarget[]; lost: number}> {
  const options = DEPLOYMENT_SIZES[size];
  const deployment = await startWarmDeployment({
    ...options,
    entries: ENTRIES,
    engine: {
      ...options.engine,
      coldMs: 1_500,
      coldCompletions: 4,
      silentCold: cause === 'silent',
    },
  });
  const {engines} = deployment;
  engines.forEach(({coldStats}) => {
    coldStats.maxOverLimit = 0;
    coldStats.arrivalsOverLimit = 0;
  });
  const requests = makeWorkload({
    seed,
    durationMs: DURATION_MS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    workspaces: options.workspaces.length,
    maxTokens: 20,
    longShare: 0,
  });
  const triggerColdStarts = async () => {
    await sleep(COLD_START_AT_MS);
    engines
      .slice(0, 5)
      .forEach(engine =>
        cause === 'restart' ? engine.crash() : engine.resetToCold(),
      );
  };
  const [outcomes] = await Promise.all([
    runLoad({deployment, requests, promptPrefix: cause}),
    triggerColdStarts(),
  ]);
  await deployment.close();
  const maxExcess = Math.max(
    0,
    ...engines.map(({coldStats}) => coldStats.maxOverLimit),
  );
  const lateArrivals = engines.reduce(
    (sum, {coldStats}) => sum + coldStats.arrivalsOverLimit,
    0,
  );
  const failed = outcomes.filter(({isCorrect}) => !isCorrect);
  const lost = failed.filter(({answer}) => answer.ran !== 'no').length;
  return {
    lost,
    rows: [
      {
        policy: POLICY,
        metric: `${cause}: largest excess`,
        value: maxExcess,
        unit: 'requests',
      },
      {
        policy: POLICY,
        metric: `${cause}: came to a full cold engine`,
        value: lateArrivals,
        unit: 'requests',
      },
      {
        policy: POLICY,
        metric: `${cause}: refused`,
        value: failed.length - lost,
        unit: 'requests',
      },
      {policy: POLICY, metric: `${cause}: lost`, value: lost, unit: 'requests'},
    ],
    targets: [atMost(`excess over cold capacity, ${cause}`, maxExcess, 0)],
  };
}

/** Engines that return to a cold start under load, for three causes. */
export const coldStart: Scenario = {
  summary: 'five engines return to a cold start under load, for three causes',
  run: async ({seed, size, log}) => {
    const results = [];
    for (const cause of ['restart', 'announced', 'silent'] as const) {
      log(cause);
      results.push(await measureColdStart(cause, seed, size));
    }
    const lost = results.reduce((sum, result) => sum + result.lost, 0);
    return {
      rows: results.flatMap(({rows}) => rows),
      targets: [
        ...results.flatMap(({targets}) => targets),
        atMost('admitted requests lost', lost, 0),
      ],
      broken: lost > 0 ? [`${lost} admitted requests were lost`] : [],
    };
  },
};
