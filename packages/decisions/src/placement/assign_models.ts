import type {HashFunction} from '../shared/hash_function.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';

/** The desired number of replicas of a model version. */
interface ModelDemand {
  /** Model and version, such as `lindenau-log@3`. */
  readonly model: string;
  readonly replicas: number;
}

/** A model engine that can load models. */
interface EngineServer {
  readonly id: string;
  readonly zone: string;
  /** Maximum number of models loaded at the same time. */
  readonly slots: number;
}

/** Models of each engine, by engine id. */
type Assignment = ReadonlyMap<string, readonly string[]>;

/** Reorders ranked engines to alternate between availability zones. */
function alternateZones(
  ranked: readonly string[],
  zoneOf: ReadonlyMap<string, string>,
): string[] {
  const counts = new Map<string, number>();
  const rounds = ranked.map(id => {
    const zone = zoneOf.get(id) ?? '';
    const round = counts.get(zone) ?? 0;
    counts.set(zone, round + 1);
    return {id, round};
  });
  return rounds.sort((a, b) => a.round - b.round).map(({id}) => id);
}

/**
 * Assigns models to engines. Nodes that have the same records and instances
 * compute the same assignment. Rendezvous hashing keeps the assignment stable:
 * adding or removing an engine moves only the models that it gains or loses. A
 * model gets fewer replicas than desired if too few engines have a free slot.
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
      alternateZones(ranked, zoneOf)
        .filter(hasSlot)
        .slice(0, replicas)
        .forEach(id => assigned.get(id)?.push(model));
    });
  return assigned;
}
