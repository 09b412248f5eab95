import {selectLinkPeers} from '../routing/select_link_peers.js';
import type {HashFunction} from '../shared/hash_function.js';
import type {Instance} from './instance.js';

interface LinkPlanOptions {
  readonly entryId: string;
  readonly zone: string;
  readonly region: string;
  /** Maximum number of links for each model or service. */
  readonly linksPerTarget: number;
}

/** A model or service and the names of the backend servers that run it. */
interface TargetServers {
  readonly target: string;
  readonly servers: readonly string[];
}

/**
 * Returns the sorted ids of the agents that an entry links to: a bounded subset
 * for each model and service, and a bounded subset of the agents that serve
 * neither, which get new records over these links.
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
  const serving = new Set(groups.flat().map(agent => agent.id));
  const others = agents.filter(agent => !serving.has(agent.id));
  const chosen = [...groups, others].flatMap(group =>
    selectLinkPeers(group, {...options, size}, hash),
  );
  return [...new Set(chosen)].sort();
}
