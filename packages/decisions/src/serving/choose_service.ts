import type {ServingRoute} from './serving_route.js';

/**
 * Chooses the service of a request by weight. `draw` is a number from 0 up to
 * 1.
 */
export function chooseService(
  route: ServingRoute,
  draw: number,
): string | undefined {
  const total = route.trafficSplit.reduce((sum, part) => sum + part.weight, 0);
  const limits = route.trafficSplit.map((_, i) =>
    route.trafficSplit
      .slice(0, i + 1)
      .reduce((sum, part) => sum + part.weight, 0),
  );
  const index = limits.findIndex(limit => draw * total < limit);
  return route.trafficSplit[index]?.service;
}
