import {makeWorkload} from '../load/make_workload.js';
import {startWarmDeployment} from '../load/start_warm_deployment.js';
import {runLoad} from '../load/run_load.js';
import {atLeast} from '../results/at_least.js';
import {atMost} from '../results/at_most.js';
import {findValue} from '../results/find_value.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';
import {DEPLOYMENT_SIZES} from './deployment_sizes.js';

const ENGINES = 6;
const PREFILL_RATE = 20_000;
const DURATION_MS = 12_000;
const TIMEOUT_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** Goodput and refused requests at one and two times the prefill capacity. */
export const overload: Scenario = {
  summary: 'goodput and refused requests at one and two times the capacity',
  run: async ({seed, size, log}) => {
    const base = DEPLOYMENT_SIZES[size];
    const capacity = ENGINES * PREFILL_RATE;
    const runAtLoad = async (factor: number) => {
      log(`${factor} times the capacity`);
      const deployment = await startWarmDeployment({
        ...base,
        engines: ENGINES,
        engine: {...base.engine, prefillRate: PREFILL_RATE},
      });
      const meanPromptTokens = 3_300;
      const requests = makeWorkload({
        seed,
        durationMs: DURATION_MS,
        requestsPerSecond: (capacity * factor) / meanPromptTokens,
        workspaces: base.workspaces.length,
        maxTokens: 8,
        longShare: 0,
      });
      const outcomes = await runLoad({
        deployment,
        requests,
        promptPrefix: `overload ${factor}`,
        timeoutMs: TIMEOUT_MS,
      });
      await deployment.close();
      const policy = `load ${factor}`;
      const correct = outcomes.filter(({isCorrect}) => isCorrect);
      const refused = outcomes.filter(({answer}) => answer.ran === 'no');
      const tokens = correct.reduce((n, o) => n + o.request.promptTokens, 0);
      const offered = requests.reduce((n, r) => n + r.promptTokens, 0);
      const seconds =
        Math.max(...correct.map(o => o.endedAtMs)) / MS_PER_SECOND;
      const lost = outcomes.length - correct.length - refused.length;
      return [
        {policy, metric: 'goodput', value: tokens / seconds, unit: 'tokens/s'},
        {
          policy,
          metric: 'offered',
          value: (offered * MS_PER_SECOND) / DURATION_MS,
          unit: 'tokens/s',
        },
        {
          policy,
          metric: 'answered whole',
          value: correct.length,
          unit: 'requests',
        },
        {
          policy,
          metric: 'admitted but not answered whole',
          value: lost,
          unit: 'requests',
        },
        ...quantileRows(
          policy,
          'refusal',
          refused.map(({answer}) => answer.totalMs),
          'ms',
        ),
        ...quantileRows(
          policy,
          'first token',
          correct.map(({answer}) => answer.firstTokenMs ?? 0),
          'ms',
        ),
      ];
    };
    const rows = [...(await runAtLoad(1)), ...(await runAtLoad(2))];
    const goodputRatio =
      findValue(rows, 'load 2', 'goodput') /
      findValue(rows, 'load 1', 'goodput');
    const lost = findValue(rows, 'load 2', 'admitted but not answered whole');
    return {
      rows,
      targets: [
        atLeast(
          'goodput at twice the load over goodput at capacity',
          goodputRatio,
          0.9,
        ),
        atMost('admitted but not answered whole at twice the load', lost, 0),
      ],
      broken: [],
    };
  },
};
