import type {HashFunction} from '../shared/hash_function.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';

/** An agent that an entry can link to. */
interface LinkPeer {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
}

interface PeerSelectionOptions {
  readonly entryId: string;
  readonly zone: string;
  readonly region: string;
  /** Largest number of links. */
  readonly size: number;
}

/** Merges groups by taking one item of each group in turn. */
function interleave<T>(groups: readonly (readonly T[])[]): T[] {
  const longest = Math.max(0, ...groups.map(group => group.length));
  return Array.from({length: longest}).flatMap((_, i) =>
    groups.flatMap(group => group.slice(i, i + 1)),
  );
}

/**
 * Selects the ids of the agents that an entry links to: half of them from its
 * own availability zone, the others spread over the other zones, so that the
 * loss of a zone leaves links to other zones.
 */
export function selectLinkPeers(
  peers: readonly LinkPeer[],
  options: PeerSelectionOptions,
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
  const local = ranked.filter(id => zoneOf.get(id) === options.zone);
  const preferred = local.slice(0, Math.ceil(options.size / 2));
  const others = interleave(
    zones
      .filter(zone => zone !== options.zone)
      .map(zone => ranked.filter(id => zoneOf.get(id) === zone)),
  );
  const selected = [...preferred, ...others, ...local.slice(preferred.length)];
  return selected.slice(0, options.size);
}
