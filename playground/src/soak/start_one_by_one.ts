interface StartOptions {
  readonly count: number;
  /** Milliseconds between two starts. */
  readonly intervalMs: number;
  /** Starts one; returns a function that ends it. */
  readonly start: () => () => void;
}

/** Starts several, one by one; returns a function that ends them, and starts no more. */
export function startOneByOne({
  count,
  intervalMs,
  start,
}: StartOptions): () => void {
  const ends: (() => void)[] = [];
  const timer = setInterval(() => {
    ends.push(start());
    if (ends.length === count) clearInterval(timer);
  }, intervalMs);
  return () => {
    clearInterval(timer);
    ends.forEach(end => end());
  };
}
