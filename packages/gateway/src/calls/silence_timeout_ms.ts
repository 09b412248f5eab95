import type {PromptPlacement} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {CallSpec} from './call_spec.js';
import {callerPatienceMs} from './caller_patience_ms.js';

type AttemptPlan = Pick<PromptPlacement, 'firstEventMs'>;

const UNPLACED: AttemptPlan = {firstEventMs: 0};

/** Silence before a plain response, in multiples of its target time. */
const PLAIN_FACTOR = 3;

/**
 * Milliseconds of silence after which another attempt starts beside a silent
 * one, while it can still respond before the caller gives up. Infinity if the
 * request may not be repeated. A late first event that was predicted is
 * waited for.
 */
export function silenceTimeoutMs(
  {route, idempotent}: CallSpec,
  {firstEventMs}: AttemptPlan = UNPLACED,
): number {
  if (!idempotent) return Infinity;
  if (route.kind !== 'streaming') return route.latencyTargetMs * PLAIN_FACTOR;
  const usualMs = callerPatienceMs(route) * GATEWAY.SILENCE_PATIENCE_SHARE;
  return Math.max(usualMs, firstEventMs * GATEWAY.PREDICTED_SILENCE_FACTOR);
}
