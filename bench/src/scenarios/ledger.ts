import {createCaller, sleep} from '@figfall/playground';
import {openDeployment} from '../load/open_deployment.js';
import {atMost} from '../results/at_most.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {BenchRow} from '../results/bench_row.js';
import type {Scenario} from './scenario.js';
import {SIZES} from './sizes.js';

const RATES = [20, 100, 300] as const;
const DURATION_MS = 5_000;
const WRITES_BOUND = 300;
const MS_PER_SECOND = 1_000;

/** Claims a second against writes a second of the platform. */
export const ledger: Scenario = {
  summary: 'claims a second against writes a second, and added latency',
  run: async ({size, note}) => {
    const base = SIZES[size];
    const deployment = await openDeployment({...base, engines: 1});
    const {platform, entries} = deployment;
    const callers = entries.map(entry =>
      createCaller(() => entry.baseUrl, base.workspaces[0]),
    );
    const rows: BenchRow[] = [];
    let worst = 0;
    for (const rate of RATES) {
      note(`${rate} bookings a second`);
      const policy = `${rate}/s`;
      const total = (rate * DURATION_MS) / MS_PER_SECOND;
      const before = platform.counts.writes;
      const createdAt = Date.now();
      const answers = await Promise.all(
        Array.from({length: total}, async (_, i) => {
          await sleep((i * MS_PER_SECOND) / rate);
          const key = `${rate}-${i}`;
          return callers[i % callers.length].book({key, body: 'b', createdAt});
        }),
      );
      const seconds = (Date.now() - createdAt) / MS_PER_SECOND;
      const writes = (platform.counts.writes - before) / seconds;
      worst = Math.max(worst, writes);
      const whole = answers.filter(({complete}) => complete);
      rows.push(
        {policy, metric: 'writes of the platform', value: writes, unit: '1/s'},
        {policy, metric: 'claims', value: whole.length / seconds, unit: '1/s'},
        {
          policy,
          metric: 'not answered',
          value: total - whole.length,
          unit: 'requests',
        },
        ...quantileRows(
          policy,
          'answer',
          whole.map(({totalMs}) => totalMs),
          'ms',
        ),
      );
      await sleep(MS_PER_SECOND);
    }
    await deployment.close();
    return {
      rows,
      targets: [atMost('writes of the platform a second', worst, WRITES_BOUND)],
      broken: [],
    };
  },
};
