import type {CrashSuspect} from './crash_suspect.js';

/**
 * Milliseconds after a loss within which all gateways that had requests at the
 * server have said so. Sooner, whoever is reported first would stand out.
 */
const SETTLE_MS = 50;

/** True if what other gateways lost with a suspect is known here. */
export function isSettled({losses}: CrashSuspect, now: number): boolean {
  return now - (losses.at(-1)?.at ?? -Infinity) >= SETTLE_MS;
}
