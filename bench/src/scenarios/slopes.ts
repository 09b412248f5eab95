import {sleep, startProcessDeployment} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {readProcessUsage} from '../results/read_process_usage.js';
import type {Scenario} from './scenario.js';

const AGENT_COUNTS = [3, 8, 16] as const;
const RECORD_COUNTS = [0, 1_500, 4_400] as const;
const MEASURE_MS = 6_000;
/** Wait for startup work and changed records to complete. */
const SETTLE_MS = 9_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_KB = 1_024;
const CPU_BOUND_PERCENT = 2.2;
const MEMORY_BOUND_MB = 128;
const LINK_BOUND_KB_PER_SECOND = 23;

type Deployment = Awaited<ReturnType<typeof startProcessDeployment>>;

/** Reads the bytes that a node has exchanged over its links. */
async function readLinkBytes(url: string): Promise<number> {
  const text = await (await fetch(`${url}/metrics`)).text();
  return [...text.matchAll(/^figfall_link_bytes\{[^}]*\} (\d+)$/gm)]
    .map(([, value]) => Number(value))
    .reduce((sum, value) => sum + value, 0);
}

/** Measures CPU, memory and traffic of an idle deployment, by role. */
async function measureIdle(
  deployment: Deployment,
  policy: string,
): Promise<BenchRow[]> {
  await sleep(SETTLE_MS);
  const before = deployment
    .processIds()
    .map(({id, pid}) => ({id, ...readProcessUsage(pid)}));
  const bytesBefore = await readLinkBytes(deployment.entryUrls[0]);
  const countPlatformCalls = () => {
    const {reads, writes, watches} = deployment.platform.counts;
    return reads + writes + watches;
  };
  const callsBefore = countPlatformCalls();
  await sleep(MEASURE_MS);
  const seconds = MEASURE_MS / MS_PER_SECOND;
  const bytes = (await readLinkBytes(deployment.entryUrls[0])) - bytesBefore;
  const after = deployment
    .processIds()
    .map(({id, pid}) => ({id, ...readProcessUsage(pid)}));
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
      value: (countPlatformCalls() - callsBefore) / seconds,
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

/** CPU, memory and traffic of idle nodes by number of links and records. */
export const slopes: Scenario = {
  summary: 'CPU, memory and traffic of idle nodes by links and records',
  run: async ({log}) => {
    const rows: BenchRow[] = [];
    for (const count of AGENT_COUNTS) {
      log(`${count} agents`);
      const deployment = await startProcessDeployment({
        entries: 2,
        services: count,
      });
      rows.push(...(await measureIdle(deployment, `${count} agents`)));
      if (count === AGENT_COUNTS[0]) {
        let written = 0;
        for (const total of RECORD_COUNTS.slice(1)) {
          log(`${total} records`);
          for (; written < total; written++) {
            const record = workspaceRecord(written);
            const key = `config/workspace/${record.name}`;
            deployment.platform.objects.put(key, JSON.stringify(record));
          }
          rows.push(...(await measureIdle(deployment, `${total} records`)));
        }
      }
      await deployment.close();
    }
    const maxOf = (metric: string) =>
      Math.max(
        ...rows.filter(row => row.metric.endsWith(metric)).map(r => r.value),
      );
    return {
      rows,
      targets: [
        atMost('idle CPU, % of a core', maxOf('CPU idle'), CPU_BOUND_PERCENT),
        atMost('resident memory, MB', maxOf('memory'), MEMORY_BOUND_MB),
        atMost(
          'link bytes, KB/s',
          maxOf('link bytes'),
          LINK_BOUND_KB_PER_SECOND,
        ),
      ],
      broken: [],
    };
  },
};
