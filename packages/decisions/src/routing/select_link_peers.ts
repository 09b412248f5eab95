import type {HashFunction} from '../shared/hash_function.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';

/** An agent that an entry may link to. */
interface Peer {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
}

interface SubsetOptions {
  readonly entryId: string;
  readonly zone: string;
  readonly region: string;
  /** Largest number of links. */
  readonly size: number;
}

function spread<T>(groups: readonly (readonly T[])[]): T[] {
  const longest = Math.max(0, ...groups.map(group => group.length));
  return Array.from({length: longest}).flatMap((_, i) =>
    groups.flatMap(group => group.slice(i, i + 1)),
  );
}

/**
 * Chooses the agents that an entry links to: half of them from its own
 * availability zone, the others spread over all zones, so that a zone's
 * loss leaves links to other zones.
 */
export function selectLinkPeers(
  peers: readonly Peer[],
  options: SubsetOptions,
  hash: HashFunction,
): string[] {
  if (peers.length <= options.size) return peers.map(peer => peer.id);
  const ranked = rankByRendezvous(
    options.entryId,
    peers.map(peer => peer.id),
    hash,
  );
  const zoneOf = new Map(peers.map(peer => [peer.id, peer.zone]));
  const zones = [...new Set(peers.map(peer => peer.zone))].sort();
  const own = ranked.filter(id => zoneOf.get(id) === options.zone);
  const near = own.slice(0, Math.ceil(options.size / 2));
  const others = spread(
    zones
      .filter(zone => zone !== options.zone)
      .map(zone => ranked.filter(id => zoneOf.get(id) === zone)),
  );
  const chosen = [...near, ...others, ...own.slice(near.length)];
  return chosen.slice(0, options.size);
}
