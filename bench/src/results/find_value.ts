import type {BenchRow} from './bench_row.js';

/**
 * Returns the value of a metric of a policy; NaN, which meets no bound, if it
 * was not measured.
 */
export function findValue(
  rows: readonly BenchRow[],
  policy: string,
  metric: string,
): number {
  const row = rows.find(r => r.policy === policy && r.metric === metric);
  return row?.value ?? NaN;
}
