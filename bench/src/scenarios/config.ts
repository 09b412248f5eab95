import {sleep, startProcessDeployment, waitFor} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';

const CHANGES = 8;
const BOUND_SECONDS = 8;
const SAMPLE_MS = 20;
const MS_PER_SECOND = 1_000;

/** State of the platform while the record spreads. */
type Variant = 'up' | 'slow' | 'down right after';

/** Time from acceptance of a record until all nodes apply it. */
export const config: Scenario = {
  summary: 'seconds from acceptance of a record until all nodes apply it',
  run: async ({log}) => {
    const deployment = await startProcessDeployment({entries: 4, services: 8});
    const {platform} = deployment;
    let reversions = 0;
    const lastRevisions = new Map<string, number>();
    const readRevisions = async () => {
      const nodes = await deployment.readConfigRevisions();
      nodes.forEach(({id, revision}) => {
        if (revision < (lastRevisions.get(id) ?? 0)) reversions += 1;
        lastRevisions.set(id, revision);
      });
      return nodes.map(({revision}) => revision);
    };
    const measureChange = async (
      i: number,
      variant: Variant,
    ): Promise<number> => {
      platform.faults.delayMs = variant === 'slow' ? 500 : 0;
      await deployment.applyRecord({
        kind: 'workspace',
        schemaVersion: 1,
        name: `change-${i}`,
        tokenHash: 'a'.repeat(64),
      });
      const acceptedAt = performance.now();
      const revision = platform.objects.versionOf(
        `config/workspace/change-${i}`,
      );
      platform.faults.down = variant === 'down right after';
      await waitFor(
        'all nodes apply the record',
        async () => {
          await sleep(SAMPLE_MS);
          return (await readRevisions()).every(current => current >= revision);
        },
        20_000,
      );
      const seconds = (performance.now() - acceptedAt) / MS_PER_SECOND;
      platform.faults.down = false;
      platform.faults.delayMs = 0;
      await sleep(MS_PER_SECOND);
      return seconds;
    };
    const rows: BenchRow[] = [];
    let maxSeconds = 0;
    for (const variant of ['up', 'slow', 'down right after'] as const) {
      log(variant);
      const durations: number[] = [];
      for (let i = 0; i < CHANGES; i++)
        durations.push(await measureChange(i, variant));
      maxSeconds = Math.max(maxSeconds, ...durations);
      rows.push(
        ...quantileRows(variant, 'in force everywhere', durations, 's'),
        {
          policy: variant,
          metric: 'in force everywhere max',
          value: Math.max(...durations),
          unit: 's',
        },
      );
    }
    const {reads, writes, watches} = platform.counts;
    await deployment.close();
    rows.push({
      policy: 'all',
      metric: 'platform calls',
      value: reads + writes + watches,
      unit: 'calls',
    });
    return {
      rows,
      targets: [
        atMost('seconds until in force everywhere', maxSeconds, BOUND_SECONDS),
        atMost('reversions', reversions, 0),
      ],
      broken: reversions > 0 ? ['a node reverted to an older record'] : [],
    };
  },
};
