import {build} from 'hdr-histogram-js';
import type {BenchRow} from './bench_row.js';

const QUANTILES = [50, 95, 99] as const;

/** Resolution of the histogram, in parts of the unit. */
const SCALE = 1_000;

/** Rows with the median, p95 and p99 of values, and their number. */
export function quantileRows(
  policy: string,
  metric: string,
  values: readonly number[],
  unit: string,
): BenchRow[] {
  const histogram = build({numberOfSignificantValueDigits: 3});
  values.forEach(value =>
    histogram.recordValue(Math.max(0, Math.round(value * SCALE))),
  );
  const rows = QUANTILES.map(quantile => ({
    policy,
    metric: `${metric} p${quantile}`,
    value: histogram.getValueAtPercentile(quantile) / SCALE,
    unit,
  }));
  const count = {
    policy,
    metric: `${metric} count`,
    value: values.length,
    unit: 'samples',
  };
  return [...rows, count];
}
