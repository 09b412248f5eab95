import {createCaller, sleep} from '@figfall/playground';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {BenchRow} from '../results/bench_row.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const RATES = [20, 100, 300] as const;
const DURATION_MS = 5_000;
const WRITES_BOUND = 300;
const MS_PER_SECOND = 1_000;

/** Rate of claims, and the rate of platform writes that they cause. */
export const ledger: Scenario = {
  summary: 'claims per second, platform writes per second, and latency',
  run: async ({size, log}) => {
    const base = DEPLOYMENT_SIZES[size];
    const deployment = await startWarmDeployment({...base, engines: 1});
    const {platform, entries} = deployment;
    const callers = entries.map(entry =>
      createCaller(() => entry.baseUrl, base.workspaces[0]),
    );
    const rows: BenchRow[] = [];
    let maxWritesPerSecond = 0;
    for (const rate of RATES) {
      log(`${rate} bookings per second`);
      const policy = `${rate}/s`;
      const total = (rate * DURATION_MS) / MS_PER_SECOND;
      const writesBefore = platform.counts.writes;
      const createdAt = Date.now();
      const answers = await Promise.all(
        Array.from({length: total}, async (_, i) => {
          await sleep((i * MS_PER_SECOND) / rate);
          const key = `${rate}-${i}`;
          return callers[i % callers.length].book({key, body: 'b', createdAt});
        }),
      );
      const seconds = (Date.now() - createdAt) / MS_PER_SECOND;
      const writesPerSecond = (platform.counts.writes - writesBefore) / seconds;
      maxWritesPerSecond = Math.max(maxWritesPerSecond, writesPerSecond);
      const completed = answers.filter(({complete}) => complete);
      rows.push(
        {
          policy,
          metric: 'writes of the platform',
          value: writesPerSecond,
          unit: '1/s',
        },
        {
          policy,
          metric: 'claims',
          value: completed.length / seconds,
          unit: '1/s',
        },
        {
          policy,
          metric: 'not answered',
          value: total - completed.length,
          unit: 'requests',
        },
        ...quantileRows(
          policy,
          'answer',
          completed.map(({totalMs}) => totalMs),
          'ms',
        ),
      );
      await sleep(MS_PER_SECOND);
    }
    await deployment.close();
    return {
      rows,
      targets: [
        atMost(
          'writes of the platform a second',
          maxWritesPerSecond,
          WRITES_BOUND,
        ),
      ],
      broken: [],
    };
  },
};
