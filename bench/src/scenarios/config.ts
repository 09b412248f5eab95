import {sleep, startProcessDeployment, waitFor} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';

const CHANGES = 8;
const BOUND_SECONDS = 8;
const SAMPLE_MS = 20;
const MS_PER_SECOND = 1_000;

type Variant = 'up' | 'slow' | 'down right after';

/** Time from an accepted record to all nodes having it in force. */
export const config: Scenario = {
  summary: 'seconds from an accepted record to force on all nodes',
  run: async ({note}) => {
    const fleet = await startProcessDeployment({entries: 4, services: 8});
    const {platform} = fleet;
    let reversions = 0;
    const last = new Map<string, number>();
    const revisions = async () => {
      const known = await fleet.readConfigRevisions();
      known.forEach(({id, revision}) => {
        if (revision < (last.get(id) ?? 0)) reversions += 1;
        last.set(id, revision);
      });
      return known.map(({revision}) => revision);
    };
    const change = async (i: number, variant: Variant): Promise<number> => {
      platform.faults.delayMs = variant === 'slow' ? 500 : 0;
      await fleet.applyRecord({
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
        'the record is in force',
        async () => {
          await sleep(SAMPLE_MS);
          return (await revisions()).every(known => known >= revision);
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
    let worst = 0;
    for (const variant of ['up', 'slow', 'down right after'] as const) {
      note(variant);
      const times: number[] = [];
      for (let i = 0; i < CHANGES; i++) times.push(await change(i, variant));
      worst = Math.max(worst, ...times);
      rows.push(...quantileRows(variant, 'in force everywhere', times, 's'), {
        policy: variant,
        metric: 'in force everywhere max',
        value: Math.max(...times),
        unit: 's',
      });
    }
    const {reads, writes, watches} = platform.counts;
    await fleet.close();
    rows.push({
      policy: 'all',
      metric: 'platform calls',
      value: reads + writes + watches,
      unit: 'calls',
    });
    return {
      rows,
      targets: [
        atMost('seconds until in force everywhere', worst, BOUND_SECONDS),
        atMost('reversions', reversions, 0),
      ],
      broken: reversions > 0 ? ['a node went back to an older record'] : [],
    };
  },
};
