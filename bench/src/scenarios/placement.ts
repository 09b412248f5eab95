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
type PromptKinds = Parameters<typeof generateLoad>[0]['kinds'];

const DURATION_MS = 34_000;
const LOADS = 3;

/** Gateways, servers and relative load of the users' deployments. */
const DEPLOYMENTS = {
  lindenau: {gateways: 5, servers: 16, loadFactor: 1},
  thistlebrae: {gateways: 4, servers: 14, loadFactor: 0.87},
};

/** Prompt kinds as the first users describe them; `loadFactor` scales rates. */
const PROMPT_KINDS: PromptKinds = [
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

/**
 * Factors on the rates of the kinds, in phases of equal length: mostly long
 * prompts, then mostly short ones, then mostly long ones.
 */
const PHASE_FACTORS = [
  [0.35, 1.3, 2.7],
  [2.5, 0.5, 0.05],
  [0.32, 1.3, 2.8],
];

/**
 * Maximum tokens of a part of a prompt, for the baseline policies. Undefined
 * for figfall, which decides itself how to split a prompt.
 */
const PART_TOKENS_BY_POLICY: Readonly<Record<string, number | undefined>> = {
  figfall: undefined,
  'one server': Infinity,
  'parts of 10,000': 10_000,
};

/** Worth of an answer; 0 if there was none. */
function earnedWorth({request, outcome}: Results[number]): number {
  const worths: Readonly<Record<string, number | undefined>> = {
    'on-time': request.worth,
    late: request.lateWorth,
  };
  return worths[outcome] ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Earned share of the worth of all requests, from 0 to 1. */
function worthShare(results: Results): number {
  const maxWorth = sum(results.map(({request}) => request.worth));
  return sum(results.map(earnedWorth)) / maxWorth;
}

function policyRows(policy: string, results: Results): BenchRow[] {
  const unit = 'of 1';
  const kinds = PROMPT_KINDS.map(({kind}) => ({
    policy,
    metric: `worth, ${kind}`,
    value: worthShare(results.filter(({request}) => request.kind === kind)),
    unit,
  }));
  return [
    {policy, metric: 'worth', value: worthShare(results), unit},
    ...kinds,
  ];
}

/** Compares placement policies on the same loads, in virtual time. */
export const placement: Scenario = {
  summary: 'placement policies on the same loads, in virtual time',
  run: async ({seed, size, log}) => {
    const {loadFactor, ...deployment} = DEPLOYMENTS[size];
    const kinds = PROMPT_KINDS.map(kind => ({
      ...kind,
      requestsPerSecond: kind.requestsPerSecond * loadFactor,
    }));
    const loads: Load[] = Array.from({length: LOADS}, (_, i) =>
      generateLoad({
        seed: seed + i,
        durationMs: DURATION_MS,
        kinds,
        phases: PHASE_FACTORS,
      }),
    );
    const rows: BenchRow[] = [];
    for (const [policy, baselineMaxPartTokens] of Object.entries(
      PART_TOKENS_BY_POLICY,
    )) {
      log(policy);
      const results: Results[] = [];
      for (const load of loads) {
        results.push(
          await runSimulation({
            ...deployment,
            seed,
            engine: REFERENCE_ENGINE,
            load,
            baselineMaxPartTokens,
          }),
        );
      }
      rows.push(...policyRows(policy, results.flat()));
    }
    const baselines = Object.keys(PART_TOKENS_BY_POLICY).filter(
      name => name !== 'figfall',
    );
    const bestBaselineWorth = Math.max(
      ...baselines.map(policy => findValue(rows, policy, 'worth')),
    );
    const figfallWorth = findValue(rows, 'figfall', 'worth');
    return {
      rows,
      targets: [
        atLeast(
          'worth over the best baseline',
          figfallWorth / bestBaselineWorth,
          1,
        ),
      ],
      broken: [],
    };
  },
};
