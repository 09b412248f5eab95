import {selectLinkPeers} from '../routing/select_link_peers.js';
import type {HashFunction} from '../shared/hash_function.js';
import type {Instance} from './instance.js';

interface LinkPlanOptions {
  readonly entryId: string;
  readonly zone: string;
  readonly region: string;
  /** Links kept for each model or service. */
  readonly linksPerTarget: number;
}

/** Backend servers that a model or service is placed on. */
interface TargetServers {
  readonly target: string;
  readonly servers: readonly string[];
}

/**
 * Chooses the agents that an entry links to: a bounded subset for each model
 * and service, and a few more so that records reach agents without either.
 */
export function planLinks(
  instances: readonly Instance[],
  targets: readonly TargetServers[],
  options: LinkPlanOptions,
  hash: HashFunction,
): string[] {
  const agents = instances.filter(({role}) => role === 'agent');
  const size = options.linksPerTarget;
  const groups = targets.map(({servers}) =>
    agents.filter(agent => servers.includes(agent.backendServer ?? '')),
  );
  const placed = new Set(groups.flat().map(agent => agent.id));
  const idle = agents.filter(agent => !placed.has(agent.id));
  const chosen = [...groups, idle].flatMap(group =>
    selectLinkPeers(group, {...options, size}, hash),
  );
  return [...new Set(chosen)].sort();
}
