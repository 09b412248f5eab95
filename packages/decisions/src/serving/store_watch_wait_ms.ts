/** Least milliseconds that a watch waits, however short the contact timeout. */
const MIN_WAIT_MS = 500;

interface StoreWatchBounds {
  /** Milliseconds after a fault within which a gateway has to be up to date. */
  readonly contactTimeoutMs: number;
  /** Milliseconds that a response may take after the end of the wait. */
  readonly graceMs: number;
  /** Milliseconds that the first call after a failed one may take. */
  readonly recoveryMs: number;
}

/**
 * Milliseconds that a watch of the store may wait for a change. A connection
 * may go silent while a watch waits on it, and what has changed meanwhile has
 * to be read within the contact timeout.
 */
export function storeWatchWaitMs(bounds: StoreWatchBounds): number {
  const {contactTimeoutMs, graceMs, recoveryMs} = bounds;
  return Math.max(MIN_WAIT_MS, contactTimeoutMs - graceMs - recoveryMs);
}
