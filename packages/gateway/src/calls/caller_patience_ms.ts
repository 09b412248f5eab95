import type {ServingRoute} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';

/** Milliseconds without an event that a stream's caller is assumed to wait. */
export function callerPatienceMs(route: ServingRoute): number {
  return Math.max(
    GATEWAY.PATIENCE_MIN_MS,
    route.latencyTargetMs * GATEWAY.PATIENCE_TARGET_FACTOR,
    route.pauseMs * GATEWAY.PATIENCE_PAUSE_FACTOR,
  );
}
