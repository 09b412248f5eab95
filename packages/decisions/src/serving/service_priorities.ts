import type {ServingConfig} from './serving_config.js';

/** Distinct priorities of the requests that a service may get, ascending. */
interface ServicePriorities {
  readonly ofRoutes: readonly number[];
  readonly ofRoutesAndWorkspaces: readonly number[];
}

function distinct(priorities: readonly number[]): readonly number[] {
  return [...new Set(priorities)].sort((a, b) => a - b);
}

function collect(
  {routes, priorityByWorkspace}: ServingConfig,
  serviceName: string,
): ServicePriorities {
  const ofRoutes = routes
    .filter(({trafficSplit}) =>
      trafficSplit.some(({service}) => service === serviceName),
    )
    .map(({priority}) => priority);
  const ofWorkspaces = [...(priorityByWorkspace?.values() ?? [])];
  return {
    ofRoutes: distinct(ofRoutes),
    ofRoutesAndWorkspaces: distinct([...ofRoutes, ...ofWorkspaces]),
  };
}

/** Kept for each configuration, which never changes and may have many routes. */
const byConfig = new WeakMap<ServingConfig, Map<string, ServicePriorities>>();

/** Finds the priorities of the requests that a service may get. */
export function servicePriorities(
  config: ServingConfig,
  serviceName: string,
): ServicePriorities {
  const byService = byConfig.get(config) ?? new Map();
  byConfig.set(config, byService);
  const priorities = byService.get(serviceName) ?? collect(config, serviceName);
  byService.set(serviceName, priorities);
  return priorities;
}
