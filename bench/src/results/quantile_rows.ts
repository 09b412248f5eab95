import {build} from 'hdr-histogram-js';
import type {BenchRow} from './bench_row.js';

const PERCENTILES = [50, 95, 99] as const;

/** Resolution of the histogram, which records integers. */
const STEPS_PER_UNIT = 1_000;

/**
 * Returns rows with the median, p95 and p99 of values, and their count.
 * Negative values count as 0.
 */
export function quantileRows(
  policy: string,
  metric: string,
  values: readonly number[],
  unit: string,
): BenchRow[] {
  const histogram = build({numberOfSignificantValueDigits: 3});
  values.forEach(value =>
    histogram.recordValue(Math.max(0, Math.round(value * STEPS_PER_UNIT))),
  );
  const rows = PERCENTILES.map(percentile => ({
    policy,
    metric: `${metric} p${percentile}`,
    value: histogram.getValueAtPercentile(percentile) / STEPS_PER_UNIT,
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
