import type {BenchResult} from './bench_result.js';

const METRIC_WIDTH = 46;

/** Formats a result as lines of text. */
export function formatResult(result: BenchResult): string[] {
  const rows = result.rows.map(
    ({policy, metric, value, unit}) =>
      `  ${policy.padEnd(18)} ${metric.padEnd(METRIC_WIDTH)} ${value.toFixed(2)} ${unit}`,
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
