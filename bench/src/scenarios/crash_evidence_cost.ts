import {crashEvidence} from '@figfall/decisions';
import {monotonicNow} from '@figfall/task';
import type {BenchRow} from '../results/bench_row.js';
import {atMost} from '../results/at_most.js';
import type {Scenario} from './scenario.js';

type Evidence = ReturnType<typeof crashEvidence.empty>;

/** Shared parts of each prompt, and as many of its own. */
const PART_COUNTS = [4, 18, 60, 300, 1_200] as const;

/** Part counts between which the cost may grow in proportion, not faster. */
const FEW_PARTS = 60;
const MANY_PARTS = 1_200;

const CRASHES = 12;

/** Requests that a server runs as it crashes. */
const LOST_PER_CRASH = 11;

const CRASH_INTERVAL_MS = 700;
const HELD_MS = 30;

/** Milliseconds after which all gateways have reported a loss. */
const SETTLED_AFTER_MS = 60;

const LIMITS = {blockMs: 60_000, suspectTtlMs: 60_000};

function partsOf(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, i) => `service/${prefix}-${i}`);
}

/** Mean processing times, in milliseconds, of a loss and of a verdict. */
function measure(partCount: number) {
  const shared = partsOf('shared', partCount);
  let evidence: Evidence = crashEvidence.empty(LIMITS);
  let lossMs = 0;
  let verdictMs = 0;
  const time = (step: () => Evidence): number => {
    const startedAt = monotonicNow();
    evidence = step();
    return monotonicNow() - startedAt;
  };
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const at = crash * CRASH_INTERVAL_MS;
    for (let lost = 0; lost < LOST_PER_CRASH; lost += 1) {
      const keys = [...shared, ...partsOf(`own-${crash}-${lost}`, partCount)];
      const loss = {crashId: `crash-${crash}`, keys, heldMs: HELD_MS};
      lossMs += time(() => crashEvidence.recordLoss(evidence, loss, at));
    }
    const settledAt = at + SETTLED_AFTER_MS;
    verdictMs += time(() => crashEvidence.judge(evidence, settledAt));
  }
  return {
    lossMs: lossMs / (CRASHES * LOST_PER_CRASH),
    verdictMs: verdictMs / CRASHES,
    keys: evidence.suspects.size,
    forgotten: evidence.forgotten,
  };
}

/** Cost of what is known of parts that may crash servers, by parts of a prompt. */
export const crashEvidenceCost: Scenario = {
  summary: 'time of a loss and of a verdict, by the parts of the prompts lost',
  run: async ({log}) => {
    measure(FEW_PARTS);
    const costs = PART_COUNTS.map(parts => {
      log(`${parts} parts`);
      return {parts, ...measure(parts)};
    });
    const rows = costs.flatMap(
      ({parts, lossMs, verdictMs, keys, forgotten}): readonly BenchRow[] => {
        const policy = `${parts} parts`;
        return [
          {policy, metric: 'one loss', value: lossMs, unit: 'ms'},
          {policy, metric: 'one verdict', value: verdictMs, unit: 'ms'},
          {policy, metric: 'keys kept', value: keys, unit: 'keys'},
          {policy, metric: 'keys forgotten', value: forgotten, unit: 'keys'},
        ];
      },
    );
    const lossMs = (parts: number): number =>
      costs.find(cost => cost.parts === parts)?.lossMs ?? Infinity;
    const growth = lossMs(MANY_PARTS) / lossMs(FEW_PARTS);
    const name = `growth of one loss from ${FEW_PARTS} to ${MANY_PARTS} parts`;
    return {
      rows,
      targets: [atMost(name, growth, MANY_PARTS / FEW_PARTS)],
      broken: [],
    };
  },
};
