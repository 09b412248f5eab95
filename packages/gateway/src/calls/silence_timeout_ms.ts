import {GATEWAY} from '../constants.js';
import type {CallSpec} from './call_spec.js';
import {callerPatienceMs} from './caller_patience_ms.js';

/** Silence before a plain response, in multiples of its target time. */
const PLAIN_FACTOR = 3;

/** Silence before a first event, in multiples of its predicted time. */
const PREDICTED_FACTOR = 2;

/**
 * Milliseconds of silence after which an attempt is abandoned while another
 * attempt can still respond before the caller gives up. Infinity if the
 * request may not be repeated. A late first event that was predicted is
 * waited for.
 */
export function silenceTimeoutMs(
  {route, idempotent}: CallSpec,
  predictedMs: number,
): number {
  if (!idempotent) return Infinity;
  if (route.kind !== 'streaming') return route.latencyTargetMs * PLAIN_FACTOR;
  const usualMs = callerPatienceMs(route) * GATEWAY.SILENCE_PATIENCE_SHARE;
  return Math.max(usualMs, predictedMs * PREDICTED_FACTOR);
}
