import {GATEWAY} from '../constants.js';
import type {CallSpec} from './call_spec.js';
import {patienceMs} from './patience_ms.js';

/** Target times of a plain answer after which a silent server is given up. */
const PLAIN_TARGETS = 3;

/** Predicted times until a first event that it may take. */
const PREDICTED_FACTOR = 2;

/**
 * Milliseconds of silence after which an attempt is given up, so that another
 * one can still reach the caller before it leaves. A first event that is
 * predicted to come late is waited for.
 */
export function silenceMs(
  {route, idempotent}: CallSpec,
  predictedMs: number,
): number {
  if (!idempotent) return Infinity;
  if (route.kind !== 'streaming') return route.latencyTargetMs * PLAIN_TARGETS;
  const usualMs = patienceMs(route) * GATEWAY.SILENCE_SHARE;
  return Math.max(usualMs, predictedMs * PREDICTED_FACTOR);
}
