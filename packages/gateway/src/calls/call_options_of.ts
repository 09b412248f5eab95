import type {CallOptions} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {CallSpec} from './call_spec.js';
import {silenceMs} from './silence_ms.js';

/** Options of the call machine for a request without an attempt yet. */
export function callOptionsOf(spec: CallSpec): CallOptions {
  return {
    idempotent: spec.idempotent,
    deadlineAt: spec.deadlineAt,
    maxOffers: GATEWAY.OFFERS_MAX,
    maxAttempts: Math.max(1, spec.route.maxAttempts),
    progressTimeoutMs: silenceMs(spec, 0),
    reconnectTimeoutMs: 0,
    routeTimeoutMs: Infinity,
    crashes: 0,
    resumeIndex: 0,
  };
}
