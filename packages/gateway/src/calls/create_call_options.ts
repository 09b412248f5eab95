import type {CallOptions} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {CallSpec} from './call_spec.js';
import {silenceTimeoutMs} from './silence_timeout_ms.js';

/** Creates the call machine's options for a request before its placement. */
export function createCallOptions(spec: CallSpec): CallOptions {
  return {
    idempotent: spec.idempotent,
    deadlineAt: spec.deadlineAt,
    maxOffers: GATEWAY.SERVERS_TRIED_MAX,
    maxAttempts: Math.max(1, spec.route.maxAttempts),
    progressTimeoutMs: silenceTimeoutMs(spec),
    reconnectTimeoutMs: 0,
    routeTimeoutMs: Infinity,
    resumeTimeoutMs: Infinity,
    crashes: 0,
    resumeIndex: 0,
  };
}
