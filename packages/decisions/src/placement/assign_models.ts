import type {HashFunction} from '../shared/hash_function.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';

/** A wish to serve a model version on a number of replicas. */
interface ModelDemand {
  /** Model and version, such as `lindenau-log@3`. */
  readonly model: string;
  readonly replicas: number;
}

/** A model engine that models can be placed on. */
interface EngineServer {
  readonly id: string;
  readonly zone: string;
  /** Models that it can hold at once. */
  readonly slots: number;
}

type Assignment = ReadonlyMap<string, readonly string[]>;

/** Alternates zones, so that replicas of a model spread over them. */
function spreadZones(
  ranked: readonly string[],
  zoneOf: ReadonlyMap<string, string>,
): string[] {
  const counts = new Map<string, number>();
  const turns = ranked.map(id => {
    const zone = zoneOf.get(id) ?? '';
    const turn = counts.get(zone) ?? 0;
    counts.set(zone, turn + 1);
    return {id, turn};
  });
  return turns.sort((a, b) => a.turn - b.turn).map(({id}) => id);
}

/**
 * Assigns models to engines, the same on every node that knows the same
 * records and members. Rendezvous hashing keeps the assignment stable: an
 * engine that comes or goes moves only the models that it takes or leaves.
 */
export function assignModels(
  demands: readonly ModelDemand[],
  servers: readonly EngineServer[],
  hash: HashFunction,
): Assignment {
  const zoneOf = new Map(servers.map(server => [server.id, server.zone]));
  const ids = servers.map(server => server.id);
  const slotsOf = new Map(servers.map(server => [server.id, server.slots]));
  const assigned = new Map(ids.map(id => [id, [] as string[]]));
  const hasSlot = (id: string) =>
    (assigned.get(id)?.length ?? 0) < (slotsOf.get(id) ?? 0);
  [...demands]
    .sort((a, b) => (a.model < b.model ? -1 : 1))
    .forEach(({model, replicas}) => {
      const ranked = rankByRendezvous(model, ids, hash);
      spreadZones(ranked, zoneOf)
        .filter(hasSlot)
        .slice(0, replicas)
        .forEach(id => assigned.get(id)?.push(model));
    });
  return assigned;
}
