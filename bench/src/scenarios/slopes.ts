import {sleep, startProcessDeployment} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {processUsage} from '../results/process_usage.js';
import type {Scenario} from './scenario.js';

const AGENTS = [3, 8, 16] as const;
const RECORDS = [0, 1_500, 4_400] as const;
const IDLE_MS = 6_000;
const SETTLE_MS = 9_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_KB = 1_024;
const CPU_BOUND = 2.2;
const MEMORY_BOUND_MB = 128;
const BYTES_BOUND_KB = 23;

type Fleet = Awaited<ReturnType<typeof startProcessDeployment>>;

async function linkBytes(url: string): Promise<number> {
  const text = await (await fetch(`${url}/metrics`)).text();
  return [...text.matchAll(/^figfall_link_bytes\{[^}]*\} (\d+)$/gm)]
    .map(([, value]) => Number(value))
    .reduce((sum, value) => sum + value, 0);
}

/** Figures of an idle fleet, per role, over a time. */
async function measure(fleet: Fleet, policy: string): Promise<BenchRow[]> {
  await sleep(SETTLE_MS);
  const before = fleet
    .processIds()
    .map(({id, pid}) => ({id, ...processUsage(pid)}));
  const bytesBefore = await linkBytes(fleet.entryUrls[0]);
  const calls = () => {
    const {reads, writes, watches} = fleet.platform.counts;
    return reads + writes + watches;
  };
  const callsBefore = calls();
  await sleep(IDLE_MS);
  const seconds = IDLE_MS / MS_PER_SECOND;
  const bytes = (await linkBytes(fleet.entryUrls[0])) - bytesBefore;
  const after = fleet
    .processIds()
    .map(({id, pid}) => ({id, ...processUsage(pid)}));
  const roleRows = (['entry', 'agent'] as const).flatMap(role => {
    const own = after.filter(({id}) => id.startsWith(role));
    const cpu = own.map(({id, cpuSeconds}) => {
      const start = before.find(node => node.id === id)?.cpuSeconds ?? 0;
      return ((cpuSeconds - start) / seconds) * 100;
    });
    const mean = cpu.reduce((sum, value) => sum + value, 0) / cpu.length;
    const memory = Math.max(...own.map(({residentMb}) => residentMb));
    return [
      {policy, metric: `${role} CPU idle`, value: mean, unit: '% of a core'},
      {policy, metric: `${role} resident memory`, value: memory, unit: 'MB'},
    ];
  });
  return [
    ...roleRows,
    {
      policy,
      metric: 'entry link bytes',
      value: bytes / BYTES_PER_KB / seconds,
      unit: 'KB/s',
    },
    {
      policy,
      metric: 'platform calls',
      value: (calls() - callsBefore) / seconds,
      unit: '1/s',
    },
  ];
}

function workspaceRecord(i: number) {
  return {
    kind: 'workspace',
    schemaVersion: 1,
    name: `workspace-${i}`,
    tokenHash: 'a'.repeat(64),
  };
}

/** CPU, memory and bytes of idle nodes against links and records. */
export const slopes: Scenario = {
  summary: 'CPU, memory and bytes of idle nodes against links and records',
  run: async ({note}) => {
    const rows: BenchRow[] = [];
    for (const count of AGENTS) {
      note(`${count} agents`);
      const fleet = await startProcessDeployment({entries: 2, services: count});
      rows.push(...(await measure(fleet, `${count} agents`)));
      if (count === AGENTS[0]) {
        let written = 0;
        for (const total of RECORDS.slice(1)) {
          note(`${total} records`);
          for (; written < total; written++) {
            const record = workspaceRecord(written);
            const key = `config/workspace/${record.name}`;
            fleet.platform.objects.put(key, JSON.stringify(record));
          }
          rows.push(...(await measure(fleet, `${total} records`)));
        }
      }
      await fleet.close();
    }
    const worst = (metric: string) =>
      Math.max(
        ...rows.filter(row => row.metric.endsWith(metric)).map(r => r.value),
      );
    return {
      rows,
      targets: [
        atMost('idle CPU, % of a core', worst('CPU idle'), CPU_BOUND),
        atMost('resident memory, MB', worst('memory'), MEMORY_BOUND_MB),
        atMost('link bytes, KB/s', worst('link bytes'), BYTES_BOUND_KB),
      ],
      broken: [],
    };
  },
};
