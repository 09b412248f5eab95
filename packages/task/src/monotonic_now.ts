/** Milliseconds of a monotonic clock; changes of the system time have no effect. */
export function monotonicNow(): number {
  return performance.now();
}
