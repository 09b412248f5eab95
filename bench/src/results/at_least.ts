import type {BenchTarget} from './bench_target.js';

/** A target that is met where the value is at or over the bound. */
export function atLeast(
  name: string,
  value: number,
  bound: number,
): BenchTarget {
  return {name, bound, value, met: value >= bound};
}
