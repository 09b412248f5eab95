import type {CompletionRequest, ServiceRequest} from '@figfall/caller';
import {ROUTING, keyShard, promptAffinityKey} from '@figfall/decisions';
import type {HashFunction, RoutingPolicy} from '@figfall/decisions';
import {computeFingerprint} from '@figfall/node-link';
import type {RecordDataByKind} from '@figfall/operator';
import {AGENT} from '../agent/agent_constants.js';
import type {CallSpec} from './call_spec.js';

/** Class of a prompt; baselines do not look at its length. */
function classOf(
  promptTokens: number,
  policy: RoutingPolicy,
): CallSpec['callClass'] {
  if (policy !== 'figfall') return 'uniform';
  return promptTokens > ROUTING.LONG_PROMPT_TOKENS ? 'long' : 'short';
}

/** Sends all keys of a ledger shard to one agent, so that it alone writes. */
function shardAffinity(
  service: string,
  workspace: string,
  {key}: NonNullable<CallSpec['key']>,
  hash: HashFunction,
): string {
  const shard = keyShard(workspace, key, AGENT.LEDGER_SHARDS, hash);
  return `${service}/${shard}`;
}

interface Trace {
  readonly traceparent: string;
}

/** Builds what stays the same over all attempts of a request. */
export const buildSpec = {
  completion(
    req: CompletionRequest,
    target: string,
    hash: HashFunction,
    {traceparent}: Trace,
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
      callClass: classOf(promptTokens, policy),
      promptTokens,
      totalTokens: promptTokens + maxTokens,
      affinity: promptAffinityKey(workspace, target, req.prompt, hash),
      fingerprint: computeFingerprint(workspace, req.body),
      body: req.body,
      idempotent: true,
      deadlineAt: Date.now() + metadata.timeoutMs,
      traceparent,
      resumeFrom: 0,
      resumeText: '',
    };
  },

  service(
    req: ServiceRequest,
    service: RecordDataByKind['service'],
    hash: HashFunction,
    {traceparent}: Trace,
  ): CallSpec {
    const {
      metadata,
      method,
      path,
      contentType,
      body,
      idempotencyKey: key,
    } = req;
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
      affinity: key
        ? shardAffinity(service.name, workspace, key, hash)
        : requestId,
      fingerprint: computeFingerprint(workspace, method, path, body),
      body,
      idempotent: service.idempotentMethods.includes(method),
      deadlineAt: Date.now() + metadata.timeoutMs,
      traceparent,
      key,
      http: {method, path, contentType},
      resumeFrom: 0,
      resumeText: '',
    };
  },
};
