import type {ServingConfig} from './serving_config.js';
import type {ServingRoute} from './serving_route.js';

/** Finds a host's route with the longest prefix that matches a path. */
export function matchRoute(
  config: ServingConfig,
  host: string,
  path: string,
): ServingRoute | undefined {
  return config.routes
    .filter(route => route.host === host && path.startsWith(route.pathPrefix))
    .reduce<ServingRoute | undefined>(
      (best, route) =>
        best && best.pathPrefix.length >= route.pathPrefix.length
          ? best
          : route,
      undefined,
    );
}
