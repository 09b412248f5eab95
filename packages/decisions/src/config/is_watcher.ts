import type {HashFunction} from '../shared/hash_function.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';

/** A node that may watch the platform for its availability zone. */
interface WatchNode {
  readonly id: string;
  readonly zone: string;
}

/** Watchers of the platform in each availability zone. */
const WATCHERS_PER_ZONE = 2;

/**
 * Decides whether a node watches the platform. Nodes that see different
 * lists may choose more watchers than needed, which is harmless; a node that
 * is in no list yet watches.
 */
export function isWatcher(
  self: WatchNode,
  nodes: readonly WatchNode[],
  hash: HashFunction,
): boolean {
  const ids = nodes.filter(n => n.zone === self.zone).map(n => n.id);
  if (!ids.includes(self.id)) return true;
  return rankByRendezvous(`watch/${self.zone}`, ids, hash)
    .slice(0, WATCHERS_PER_ZONE)
    .includes(self.id);
}
