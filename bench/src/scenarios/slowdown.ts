import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {RoutingPolicy} from '@figfall/decisions';
import {makeWorkload} from '../load/make_workload.js';
import {openDeployment} from '../load/open_deployment.js';
import type {LoadOutcome} from '../load/load_outcome.js';
import type {PlannedRequest} from '../load/planned_request.js';
import {runAlone} from '../load/run_alone.js';
import {runLoad} from '../load/run_load.js';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {findValue} from '../results/find_value.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {SIZES} from './sizes.js';

const POLICIES: readonly RoutingPolicy[] = [
  'figfall',
  'random',
  'round-robin',
  'least-outstanding',
];

const LOAD = 0.8;
const DURATION_MS = 15_000;
const LONG_SHARE = 0.02;
const LONG_TOKENS = 100_000;
const MAX_TOKENS = 8;
const ALONE_SAMPLES = 60;
const NS_PER_MS = 1e6;

const BANDS = [
  {name: '1k-4k', from: 0, to: 4_000},
  {name: '4k-20k', from: 4_000, to: 20_000},
  {name: 'over 100k', from: 100_000, to: Infinity},
] as const;

/** Time to first token alone, as a line over the prompt's tokens. */
interface AloneModel {
  readonly baseMs: number;
  readonly perTokenMs: number;
}

function fitLine(outcomes: readonly LoadOutcome[]): AloneModel {
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

function isShort({promptTokens}: PlannedRequest): boolean {
  return promptTokens < LONG_TOKENS;
}

function rowsFor(
  policy: string,
  outcomes: readonly LoadOutcome[],
  alone: AloneModel,
): BenchRow[] {
  const complete = outcomes.filter(({isRight}) => isRight);
  const firstToken = ({answer}: LoadOutcome) => answer.firstTokenMs ?? 0;
  const slowdowns = complete
    .filter(({request}) => isShort(request))
    .map(
      outcome =>
        firstToken(outcome) /
        (alone.baseMs + alone.perTokenMs * outcome.request.promptTokens),
    );
  const bands = BANDS.flatMap(({name, from, to}) =>
    quantileRows(
      policy,
      `first token ${name}`,
      complete
        .filter(({request: {promptTokens: n}}) => n >= from && n < to)
        .map(firstToken),
      'ms',
    ),
  );
  return [
    ...quantileRows(policy, 'short slowdown', slowdowns, 'times'),
    ...bands,
    {
      policy,
      metric: 'not answered whole',
      value: outcomes.length - complete.length,
      unit: 'requests',
    },
  ];
}

/** Slowdown of short requests beside long ones, by routing policy. */
export const slowdown: Scenario = {
  summary: 'short requests beside long ones, against baseline policies',
  run: async ({seed, size, note}) => {
    const options = SIZES[size];
    const capacity = options.engines * options.engine.prefillRate;
    const probe = makeWorkload({
      seed,
      durationMs: 100_000,
      requestsPerSecond: 100,
      workspaces: options.workspaces.length,
      maxTokens: MAX_TOKENS,
      longShare: LONG_SHARE,
    });
    const tokens = probe.reduce((sum, r) => sum + r.promptTokens, 0);
    const meanTokens = tokens / probe.length;
    const requests = makeWorkload({
      seed,
      durationMs: DURATION_MS,
      requestsPerSecond: (capacity * LOAD) / meanTokens,
      workspaces: options.workspaces.length,
      maxTokens: MAX_TOKENS,
      longShare: LONG_SHARE,
    });
    const rows: BenchRow[] = [
      {
        policy: 'all',
        metric: 'load',
        value: (LOAD * capacity) / meanTokens,
        unit: 'requests/s',
      },
    ];
    let alone: AloneModel | undefined;
    for (const policy of POLICIES) {
      note(`policy ${policy}`);
      const deployment = await openDeployment({...options, policy});
      if (!alone) {
        const sample = requests.filter(isShort).slice(0, ALONE_SAMPLES);
        alone = fitLine(await runAlone(deployment, sample, 'alone'));
        rows.push({
          policy: 'alone',
          metric: 'first token of 2,500 tokens',
          value: alone.baseMs + alone.perTokenMs * 2_500,
          unit: 'ms',
        });
      }
      const delay = monitorEventLoopDelay({resolution: 5});
      delay.enable();
      const outcomes = await runLoad({deployment, requests, salt: policy});
      delay.disable();
      await deployment.close();
      rows.push(...rowsFor(policy, outcomes, alone), {
        policy,
        metric: 'event loop delay p99',
        value: delay.percentile(99) / NS_PER_MS,
        unit: 'ms',
      });
    }
    const own = findValue(rows, 'figfall', 'short slowdown p95');
    const best = Math.min(
      ...POLICIES.slice(1).map(policy =>
        findValue(rows, policy, 'short slowdown p95'),
      ),
    );
    const lost = findValue(rows, 'figfall', 'not answered whole');
    return {
      rows,
      targets: [
        atMost('short slowdown p95 at 80% load', own, 1.5),
        atMost('short slowdown p95 against best baseline', own / best, 0.5),
      ],
      broken: lost > 0 ? [`${lost} requests were not answered whole`] : [],
    };
  },
};
