import type {ServingRoute} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';

/** Milliseconds for which the caller of a stream waits for an event. */
export function patienceMs(route: ServingRoute): number {
  return Math.max(
    GATEWAY.PATIENCE_MIN_MS,
    route.latencyTargetMs * GATEWAY.PATIENCE_TARGETS,
    route.pauseMs * GATEWAY.PATIENCE_PAUSES,
  );
}
