import type {CompletionRequest, ServiceRequest} from '@figfall/caller';
import {ROUTING, keyShard, promptAffinityKey} from '@figfall/decisions';
import type {HashFunction, RoutingPolicy} from '@figfall/decisions';
import {computeFingerprint} from '@figfall/node-link';
import type {RecordDataByKind} from '@figfall/operator';
import {AGENT} from '../agent/agent_constants.js';
import type {CallSpec} from './call_spec.js';

/** Returns the class of a prompt; only the figfall policy uses its length. */
function classifyPrompt(
  promptTokens: number,
  policy: RoutingPolicy,
): CallSpec['callClass'] {
  if (policy !== 'figfall') return 'uniform';
  return promptTokens > ROUTING.LONG_PROMPT_TOKENS ? 'long' : 'short';
}

/**
 * Returns an affinity key that sends all keys of a ledger shard to one agent,
 * because agents that write the same ledger object conflict.
 */
function shardAffinityKey(
  service: string,
  workspace: string,
  {key}: NonNullable<CallSpec['idempotencyKey']>,
  hash: HashFunction,
): string {
  const shard = keyShard(workspace, key, AGENT.LEDGER_SHARDS, hash);
  return `${service}/${shard}`;
}

interface TraceContext {
  readonly traceparent: string;
}

/** Builds the spec of a request from the caller's HTTP request. */
export const buildSpec = {
  completion(
    req: CompletionRequest,
    target: string,
    hash: HashFunction,
    {traceparent}: TraceContext,
    policy: RoutingPolicy,
  ): CallSpec {
    const {metadata, promptTokens, maxTokens} = req;
    const {workspace, requestId} = metadata;
    return {
      requestId,
      kind: req.kind,
      agentKind: 'model-engine',
      workspace,
      target,
      callClass: classifyPrompt(promptTokens, policy),
      promptTokens,
      totalTokens: promptTokens + maxTokens,
      affinityKey: promptAffinityKey(workspace, target, req.prompt, hash),
      fingerprint: computeFingerprint(workspace, req.body),
      body: req.body,
      idempotent: true,
      deadlineAt: Date.now() + metadata.timeoutMs,
      traceparent,
      resumeIndex: 0,
      resumeText: '',
    };
  },

  service(
    req: ServiceRequest,
    service: RecordDataByKind['service'],
    hash: HashFunction,
    {traceparent}: TraceContext,
  ): CallSpec {
    const {metadata, method, path, contentType, body, idempotencyKey} = req;
    const {workspace, requestId} = metadata;
    return {
      requestId,
      kind: 'service',
      agentKind: 'plain-service',
      workspace,
      target: service.name,
      callClass: 'short',
      promptTokens: 0,
      totalTokens: 0,
      affinityKey: idempotencyKey
        ? shardAffinityKey(service.name, workspace, idempotencyKey, hash)
        : requestId,
      fingerprint: computeFingerprint(workspace, method, path, body),
      body,
      idempotent: service.idempotentMethods.includes(method),
      deadlineAt: Date.now() + metadata.timeoutMs,
      traceparent,
      idempotencyKey,
      http: {method, path, contentType},
      resumeIndex: 0,
      resumeText: '',
    };
  },
};
