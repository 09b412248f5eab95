import type {PriorityLevel} from './priority_level.js';
import {servicePriorities} from './service_priorities.js';
import type {ServingConfig} from './serving_config.js';
import type {ServingRoute} from './serving_route.js';

/**
 * Finds the priority level of a request among those that `serviceName` may get.
 * The priority of a workspace takes precedence over that of the route.
 */
export function findPriorityLevel(
  config: ServingConfig,
  route: ServingRoute,
  serviceName: string,
  workspace?: string,
): PriorityLevel {
  const {ofRoutesAndWorkspaces} = servicePriorities(config, serviceName);
  const ofWorkspace = config.priorityByWorkspace?.get(workspace ?? '');
  const priority = ofWorkspace ?? route.priority;
  return {
    level: Math.max(0, ofRoutesAndWorkspaces.indexOf(priority)),
    levels: Math.max(1, ofRoutesAndWorkspaces.length),
  };
}
