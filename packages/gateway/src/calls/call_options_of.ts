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
    progressMs: silenceMs(spec, 0),
    detachMs: 0,
    routeMs: Infinity,
    crashes: 0,
    resumeFrom: 0,
  };
}
