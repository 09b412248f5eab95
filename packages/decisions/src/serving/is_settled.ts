/**
 * Milliseconds after a loss within which all gateways that had requests at the
 * server have said so. Sooner, whoever is reported first would stand out.
 */
const SETTLE_MS = 50;

/** True if what other gateways lost by the time of a loss is known here. */
export function isSettled(lossAt: number, now: number): boolean {
  return now - lossAt >= SETTLE_MS;
}
