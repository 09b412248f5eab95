import {assignModels} from '@figfall/decisions';
import type {HashFunction, Instance} from '@figfall/decisions';
import type {ConfigView} from './config_view.js';
import {placementTarget} from './placement_target.js';

/**
 * Computes the models that each backend server should hold, by server name.
 * Servers that are missing from the instance list get none; the lag of the
 * list keeps short absences from moving models. If the list has no agents,
 * all servers count as present.
 */
export function computeModelAssignment(
  view: ConfigView,
  instances: readonly Instance[],
  hash: HashFunction,
): ReadonlyMap<string, readonly string[]> {
  const demands = view.all('placement').map(placement => ({
    model: placementTarget(placement),
    replicas: placement.replicas,
  }));
  const agents = instances.filter(({role}) => role === 'agent');
  const zoneOf = new Map(
    agents.map(({backendServer, zone}) => [backendServer, zone]),
  );
  const isPresent = (name: string) => agents.length === 0 || zoneOf.has(name);
  const engines = view
    .all('backend-server')
    .filter(({kind, name}) => kind === 'model-engine' && isPresent(name))
    .map(({name, modelSlots}) => ({
      id: name,
      zone: zoneOf.get(name) ?? '',
      slots: modelSlots,
    }));
  return assignModels(demands, engines, hash);
}
