/** Milliseconds on a clock that no change of the time of day moves. */
export function monotonicNow(): number {
  return performance.now();
}
