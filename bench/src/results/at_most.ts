import type {BenchTarget} from './bench_target.js';

/** A target that is met where the value is at or under the bound. */
export function atMost(
  name: string,
  value: number,
  bound: number,
): BenchTarget {
  return {name, bound, value, met: value <= bound};
}
