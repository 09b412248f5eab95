import type {CallCommand} from '@figfall/decisions';
import {LINK} from '@figfall/node-link';
import type {OpenCall} from '@figfall/node-link';
import type {CallSpec} from './call_spec.js';

interface Progress {
  /** Highest configuration version that the entry knows. */
  readonly revision: number;
  /** Text that the caller already has. */
  readonly text: string;
}

/** Builds the offer of one attempt; small bodies go with it. */
export function buildOpenCall(
  spec: CallSpec,
  command: Extract<CallCommand, {readonly type: 'open'}>,
  {revision, text}: Progress,
): OpenCall {
  const {body, fixed} = spec;
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
    alone: command.alone,
    fingerprint: spec.fingerprint,
    configRevision: revision,
    traceparent: spec.traceparent,
    body: isSmall ? body : undefined,
    bodyBytes: body.byteLength,
    resumeIndex: command.resumeIndex,
    resumeText: command.resumeIndex > 0 ? text : undefined,
    reservationId: fixed?.reservationId,
    carry: fixed?.carry,
    idempotent: spec.idempotent,
    key: spec.key,
    http: spec.http,
  };
}
