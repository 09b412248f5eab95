/** Milliseconds on a clock that no change of the time of day moves. */
export function steadyNow(): number {
  return performance.now();
}
