import type {BenchResult} from './bench_result.js';

const COLUMN = 46;

/** Returns the lines in which a person reads a result. */
export function printResult(result: BenchResult): string[] {
  const rows = result.rows.map(
    ({policy, metric, value, unit}) =>
      `  ${policy.padEnd(18)} ${metric.padEnd(COLUMN)} ${value.toFixed(2)} ${unit}`,
  );
  const targets = result.targets.map(
    ({name, bound, value, met}) =>
      `  ${met ? 'met   ' : 'MISSED'} ${name}: ${value.toFixed(2)} (bound ${bound})`,
  );
  const broken = result.broken.map(text => `  BROKEN ${text}`);
  return [
    `scenario ${result.scenario}, seed ${result.seed}`,
    ...rows,
    ...targets,
    ...broken,
  ];
}
