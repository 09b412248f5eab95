import type {CallCommand} from '@figfall/decisions';
import {LINK} from '@figfall/node-link';
import type {OpenCall} from '@figfall/node-link';
import type {CallSpec} from './call_spec.js';

interface Progress {
  /** Highest configuration version that the entry knows. */
  readonly configRevision: number;
  /** Output text that the caller already has. */
  readonly text: string;
}

/**
 * Builds the message that offers an attempt to an agent. The body is included
 * if it fits into one chunk; a larger one is sent once the agent accepts.
 */
export function buildOpenCall(
  spec: CallSpec,
  command: Extract<CallCommand, {readonly type: 'open'}>,
  {configRevision, text}: Progress,
): OpenCall {
  const {body, pinned} = spec;
  const isSmall = body.byteLength <= LINK.BODY_CHUNK_BYTES;
  return {
    callId: command.attemptId,
    kind: spec.kind,
    workspace: spec.workspace,
    target: spec.target,
    callClass: spec.callClass,
    promptTokens: spec.promptTokens,
    totalTokens: spec.totalTokens,
    deadlineInMs: spec.deadlineAt - Date.now(),
    alone: command.runsAlone,
    fingerprint: spec.fingerprint,
    configRevision,
    traceparent: spec.traceparent,
    body: isSmall ? body : undefined,
    bodyBytes: body.byteLength,
    resumeIndex: command.resumeIndex,
    resumeText: command.resumeIndex > 0 ? text : undefined,
    reservationId: pinned?.reservationId,
    carry: pinned?.kvCacheHandle,
    idempotent: spec.idempotent,
    key: spec.idempotencyKey,
    http: spec.http,
  };
}
