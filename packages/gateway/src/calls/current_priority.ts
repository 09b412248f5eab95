import {findPriorityLevel} from '@figfall/decisions';
import type {PriorityLevel, ServingConfig} from '@figfall/decisions';
import type {CallSpec} from './call_spec.js';

/**
 * Priority level of a request by the configuration in force, which may be newer
 * than the request. It keeps its level if its route is gone.
 */
export function currentPriority(
  {route, service, workspace, priority}: CallSpec,
  config?: ServingConfig,
): PriorityLevel {
  const current = config?.routes.find(({name}) => name === route.name);
  return config && current
    ? findPriorityLevel(config, current, service.name, workspace)
    : priority;
}
