import type {HashFunction} from '../shared/hash_function.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';

/** A node that can watch the platform for its availability zone. */
interface WatchCandidate {
  readonly id: string;
  readonly zone: string;
}

/** Number of nodes in each availability zone that watch the platform. */
const WATCHERS_PER_ZONE = 2;

/**
 * Returns true if a node should watch the platform. Nodes with different lists
 * may choose more watchers than needed, which is harmless. A node that is not
 * in its own list yet watches as well.
 */
export function isWatcher(
  self: WatchCandidate,
  nodes: readonly WatchCandidate[],
  hash: HashFunction,
): boolean {
  const ids = nodes
    .filter(node => node.zone === self.zone)
    .map(node => node.id);
  if (!ids.includes(self.id)) return true;
  return rankByRendezvous(`watch/${self.zone}`, ids, hash)
    .slice(0, WATCHERS_PER_ZONE)
    .includes(self.id);
}
