import {
  REFERENCE_ENGINE,
  generateLoad,
  runSimulation,
} from '@figfall/playground';
import type {BenchRow} from '../results/bench_row.js';
import {atLeast} from '../results/at_least.js';
import {findValue} from '../results/find_value.js';
import type {Scenario} from './scenario.js';

type Load = ReturnType<typeof generateLoad>;
type Results = Awaited<ReturnType<typeof runSimulation>>;
type Kinds = Parameters<typeof generateLoad>[0]['kinds'];

const DURATION_MS = 34_000;
const SEEDS = 3;

/** Gateways and servers of the users' deployments. */
const FLEETS = {
  lindenau: {gateways: 5, servers: 16, rate: 1},
  thistlebrae: {gateways: 4, servers: 14, rate: 0.87},
};

/** Prompts of Lindenau's sheet; the second users' come at a lower rate. */
const KINDS: Kinds = [
  {
    kind: 'short',
    requestsPerSecond: 22.9,
    promptTokens: 5_000,
    lengthSigma: 0.9,
    promptTokensMax: 23_800,
    outputTokens: 1_680,
    targetMs: 300,
    pauseMs: 250,
    timeoutMs: 10_000,
    worth: 1.3,
    lateWorth: 0.33,
  },
  {
    kind: 'medium',
    requestsPerSecond: 1.16,
    promptTokens: 45_000,
    lengthSigma: 0.5,
    promptTokensMax: 110_000,
    outputTokens: 1_000,
    targetMs: 1_500,
    pauseMs: 600,
    timeoutMs: 10_000,
    worth: 4.2,
    lateWorth: 1,
  },
  {
    kind: 'long',
    requestsPerSecond: 0.7,
    promptTokens: 154_000,
    lengthSigma: 0.55,
    promptTokensMax: 700_000,
    outputTokens: 840,
    targetMs: 3_000,
    pauseMs: 1_000,
    timeoutMs: 15_000,
    worth: 21,
    lateWorth: 5.2,
  },
];

/** Factors on the kinds: long prompts press, then short ones, then long ones. */
const PHASES = [
  [0.35, 1.3, 2.7],
  [2.5, 0.5, 0.05],
  [0.32, 1.3, 2.8],
];

/** Most tokens of a part by policy; figfall places by itself. */
const POLICIES: Readonly<Record<string, number | undefined>> = {
  figfall: undefined,
  'one server': Infinity,
  'parts of 10,000': 10_000,
};

function worthOf({request, outcome}: Results[number]): number {
  const worths: Readonly<Record<string, number | undefined>> = {
    'on-time': request.worth,
    late: request.lateWorth,
  };
  return worths[outcome] ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function share(results: Results): number {
  const owed = sum(results.map(({request}) => request.worth));
  return sum(results.map(worthOf)) / owed;
}

function rowsOf(policy: string, results: Results): BenchRow[] {
  const unit = 'of 1';
  const kinds = KINDS.map(({kind}) => ({
    policy,
    metric: `worth, ${kind}`,
    value: share(results.filter(({request}) => request.kind === kind)),
    unit,
  }));
  return [{policy, metric: 'worth', value: share(results), unit}, ...kinds];
}

/** Policies of placement on the same loads, under virtual time. */
export const placement: Scenario = {
  summary: 'policies of placement on the same loads, under virtual time',
  run: async ({seed, size, note}) => {
    const {rate, ...fleet} = FLEETS[size];
    const kinds = KINDS.map(kind => ({
      ...kind,
      requestsPerSecond: kind.requestsPerSecond * rate,
    }));
    const loads: Load[] = Array.from({length: SEEDS}, (_, i) =>
      generateLoad({
        seed: seed + i,
        durationMs: DURATION_MS,
        kinds,
        phases: PHASES,
      }),
    );
    const rows: BenchRow[] = [];
    for (const [policy, baselineMaxPartTokens] of Object.entries(POLICIES)) {
      note(policy);
      const results: Results[] = [];
      for (const load of loads) {
        results.push(
          await runSimulation({
            ...fleet,
            seed,
            engine: REFERENCE_ENGINE,
            load,
            baselineMaxPartTokens,
          }),
        );
      }
      rows.push(...rowsOf(policy, results.flat()));
    }
    const others = Object.keys(POLICIES).filter(name => name !== 'figfall');
    const best = Math.max(
      ...others.map(policy => findValue(rows, policy, 'worth')),
    );
    const own = findValue(rows, 'figfall', 'worth');
    return {
      rows,
      targets: [atLeast('worth over the best baseline', own / best, 1)],
      broken: [],
    };
  },
};
