import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {RoutingPolicy} from '@figfall/decisions';
import {makeWorkload} from '../load/make_workload.js';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import type {LoadOutcome} from '../load/load_outcome.js';
import type {PlannedRequest} from '../load/planned_request.js';
import {runSequentially} from '../load/run_sequentially.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {findValue} from '../results/find_value.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const POLICIES: readonly RoutingPolicy[] = [
  'figfall',
  'random',
  'round-robin',
  'least-outstanding',
];

/** Offered prompt tokens, as a share of the engines' prefill rate. */
const LOAD_SHARE = 0.8;
const DURATION_MS = 15_000;
const LONG_SHARE = 0.02;
const LONG_TOKENS = 100_000;
const MAX_TOKENS = 8;
const UNLOADED_SAMPLES = 60;
const NS_PER_MS = 1e6;

/** Ranges of prompt lengths, in tokens. */
const LENGTH_BANDS = [
  {name: '1k-4k', from: 0, to: 4_000},
  {name: '4k-20k', from: 4_000, to: 20_000},
  {name: 'over 100k', from: 100_000, to: Infinity},
] as const;

/** Time to first token without other load, linear in the prompt's tokens. */
interface UnloadedLatency {
  readonly baseMs: number;
  readonly perTokenMs: number;
}

/** Fits a line by least squares. */
function fitUnloadedLatency(outcomes: readonly LoadOutcome[]): UnloadedLatency {
  const points = outcomes.map(({request, answer}) => ({
    x: request.promptTokens,
    y: answer.firstTokenMs ?? 0,
  }));
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / points.length;
  const cov = points.reduce((sum, p) => sum + (p.x - meanX) * (p.y - meanY), 0);
  const variance = points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
  const perTokenMs = cov / variance;
  return {perTokenMs, baseMs: meanY - perTokenMs * meanX};
}

function isShortPrompt({promptTokens}: PlannedRequest): boolean {
  return promptTokens < LONG_TOKENS;
}

function policyRows(
  policy: string,
  outcomes: readonly LoadOutcome[],
  unloaded: UnloadedLatency,
): BenchRow[] {
  const complete = outcomes.filter(({isCorrect}) => isCorrect);
  const firstTokenMs = ({answer}: LoadOutcome) => answer.firstTokenMs ?? 0;
  const slowdowns = complete
    .filter(({request}) => isShortPrompt(request))
    .map(
      outcome =>
        firstTokenMs(outcome) /
        (unloaded.baseMs + unloaded.perTokenMs * outcome.request.promptTokens),
    );
  const bandRows = LENGTH_BANDS.flatMap(({name, from, to}) =>
    quantileRows(
      policy,
      `first token ${name}`,
      complete
        .filter(({request: {promptTokens: n}}) => n >= from && n < to)
        .map(firstTokenMs),
      'ms',
    ),
  );
  return [
    ...quantileRows(policy, 'short slowdown', slowdowns, 'times'),
    ...bandRows,
    {
      policy,
      metric: 'not answered whole',
      value: outcomes.length - complete.length,
      unit: 'requests',
    },
  ];
}

/** Slowdown of short requests that share engines with long ones, by policy. */
export const slowdown: Scenario = {
  summary: 'short requests next to long ones, compared with baseline policies',
  run: async ({seed, size, log}) => {
    const options = DEPLOYMENT_SIZES[size];
    const capacity = options.engines * options.engine.prefillRate;
    const sampleWorkload = makeWorkload({
      seed,
      durationMs: 100_000,
      requestsPerSecond: 100,
      workspaces: options.workspaces.length,
      maxTokens: MAX_TOKENS,
      longShare: LONG_SHARE,
    });
    const tokens = sampleWorkload.reduce((sum, r) => sum + r.promptTokens, 0);
    const meanTokens = tokens / sampleWorkload.length;
    const requests = makeWorkload({
      seed,
      durationMs: DURATION_MS,
      requestsPerSecond: (capacity * LOAD_SHARE) / meanTokens,
      workspaces: options.workspaces.length,
      maxTokens: MAX_TOKENS,
      longShare: LONG_SHARE,
    });
    const rows: BenchRow[] = [
      {
        policy: 'all',
        metric: 'load',
        value: (LOAD_SHARE * capacity) / meanTokens,
        unit: 'requests/s',
      },
    ];
    let unloaded: UnloadedLatency | undefined;
    for (const policy of POLICIES) {
      log(`policy ${policy}`);
      const deployment = await startWarmDeployment({...options, policy});
      if (!unloaded) {
        const sample = requests
          .filter(isShortPrompt)
          .slice(0, UNLOADED_SAMPLES);
        unloaded = fitUnloadedLatency(
          await runSequentially(deployment, sample, 'alone'),
        );
        rows.push({
          policy: 'alone',
          metric: 'first token of 2,500 tokens',
          value: unloaded.baseMs + unloaded.perTokenMs * 2_500,
          unit: 'ms',
        });
      }
      const delay = monitorEventLoopDelay({resolution: 5});
      delay.enable();
      const outcomes = await runLoad({
        deployment,
        requests,
        promptPrefix: policy,
      });
      delay.disable();
      await deployment.close();
      rows.push(...policyRows(policy, outcomes, unloaded), {
        policy,
        metric: 'event loop delay p99',
        value: delay.percentile(99) / NS_PER_MS,
        unit: 'ms',
      });
    }
    const figfallP95 = findValue(rows, 'figfall', 'short slowdown p95');
    const bestBaselineP95 = Math.min(
      ...POLICIES.slice(1).map(policy =>
        findValue(rows, policy, 'short slowdown p95'),
      ),
    );
    const lost = findValue(rows, 'figfall', 'not answered whole');
    return {
      rows,
      targets: [
        atMost('short slowdown p95 at 80% load', figfallP95, 1.5),
        atMost(
          'short slowdown p95 against best baseline',
          figfallP95 / bestBaselineP95,
          0.5,
        ),
      ],
      broken: lost === 0 ? [] : [`${lost} requests were not answered whole`],
    };
  },
};
