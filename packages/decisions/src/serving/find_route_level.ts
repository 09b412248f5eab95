import type {PriorityLevel} from './priority_level.js';
import {servicePriorities} from './service_priorities.js';
import type {ServingConfig} from './serving_config.js';
import type {ServingRoute} from './serving_route.js';

/** Finds the priority level of a route among those of the same service. */
export function findRouteLevel(
  config: ServingConfig,
  route: ServingRoute,
  serviceName: string,
): PriorityLevel {
  const {ofRoutes} = servicePriorities(config, serviceName);
  return {
    level: Math.max(0, ofRoutes.indexOf(route.priority)),
    levels: Math.max(1, ofRoutes.length),
  };
}
