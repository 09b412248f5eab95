import {makeWorkload} from '../load/make_workload.js';
import {openDeployment} from '../load/open_deployment.js';
import {runLoad} from '../load/run_load.js';
import {sleep} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import type {BenchTarget} from '../results/bench_target.js';
import type {Scenario} from './scenario.js';
import {SIZES} from './sizes.js';

const ENTRIES = 6;
const DURATION_MS = 8_000;
const FALL_AT_MS = 3_000;
const REQUESTS_PER_SECOND = 60;
const POLICY = 'figfall';

type Fall = 'restart' | 'announced' | 'silent';

/** Largest excess that engines saw in one kind of cold start. */
async function excessAfter(
  fall: Fall,
  seed: number,
  size: keyof typeof SIZES,
): Promise<{rows: BenchRow[]; targets: BenchTarget[]; lost: number}> {
  const options = SIZES[size];
  const deployment = await openDeployment({
    ...options,
    entries: ENTRIES,
    engine: {
      ...options.engine,
      coldMs: 1_500,
      coldCompletions: 4,
      silentCold: fall === 'silent',
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
  const falls = async () => {
    await sleep(FALL_AT_MS);
    engines
      .slice(0, 5)
      .forEach(engine =>
        fall === 'restart' ? engine.crash() : engine.resetToCold(),
      );
  };
  const [outcomes] = await Promise.all([
    runLoad({deployment, requests, salt: fall}),
    falls(),
  ]);
  await deployment.close();
  const excess = Math.max(
    0,
    ...engines.map(({coldStats}) => coldStats.maxOverLimit),
  );
  const late = engines.reduce(
    (sum, {coldStats}) => sum + coldStats.arrivalsOverLimit,
    0,
  );
  const failed = outcomes.filter(({isRight}) => !isRight);
  const lost = failed.filter(({answer}) => answer.ran !== 'no').length;
  return {
    lost,
    rows: [
      {
        policy: POLICY,
        metric: `${fall}: largest excess`,
        value: excess,
        unit: 'requests',
      },
      {
        policy: POLICY,
        metric: `${fall}: came to a full cold engine`,
        value: late,
        unit: 'requests',
      },
      {
        policy: POLICY,
        metric: `${fall}: refused`,
        value: failed.length - lost,
        unit: 'requests',
      },
      {policy: POLICY, metric: `${fall}: lost`, value: lost, unit: 'requests'},
    ],
    targets: [atMost(`excess over cold capacity, ${fall}`, excess, 0)],
  };
}

/** Engines that fall back into a cold start, in three ways. */
export const coldStart: Scenario = {
  summary: 'five engines fall back into a cold start under load, three ways',
  run: async ({seed, size, note}) => {
    const results = [];
    for (const fall of ['restart', 'announced', 'silent'] as const) {
      note(fall);
      results.push(await excessAfter(fall, seed, size));
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
