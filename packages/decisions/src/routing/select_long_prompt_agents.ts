import type {HashFunction} from '../shared/hash_function.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';
import {ROUTING} from './routing_constants.js';

/**
 * Selects the agents that may prefill long prompts of a model. Their number
 * follows `longShare`, the share of prompt tokens that are in long prompts,
 * within bounds, and is at least one.
 */
export function selectLongPromptAgents(
  model: string,
  agentIds: readonly string[],
  longShare: number,
  hash: HashFunction,
): string[] {
  const share = Math.min(
    ROUTING.LONG_SHARE_MAX,
    Math.max(ROUTING.LONG_SHARE_MIN, longShare),
  );
  const size = Math.max(1, Math.round(agentIds.length * share));
  return rankByRendezvous(`long/${model}`, agentIds, hash).slice(0, size);
}
