import type {ServingRoute} from './serving_route.js';

/**
 * Chooses the service of a request at random, by the route's weights. `draw` is
 * a random number in [0, 1). Returns undefined if no service has weight.
 */
export function chooseService(
  route: ServingRoute,
  draw: number,
): string | undefined {
  const total = route.trafficSplit.reduce((sum, part) => sum + part.weight, 0);
  const bounds = route.trafficSplit.map((_, i) =>
    route.trafficSplit
      .slice(0, i + 1)
      .reduce((sum, part) => sum + part.weight, 0),
  );
  const index = bounds.findIndex(bound => draw * total < bound);
  return route.trafficSplit[index]?.service;
}
