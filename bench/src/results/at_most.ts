import type {BenchTarget} from './bench_target.js';

/** Returns a target that is met by a value of `bound` or less. */
export function atMost(
  name: string,
  value: number,
  bound: number,
): BenchTarget {
  return {name, bound, value, met: value <= bound};
}
