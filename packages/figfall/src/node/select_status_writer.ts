import {rankByRendezvous} from '@figfall/decisions';
import type {HashFunction, Instance} from '@figfall/decisions';

/**
 * Finds the entry that writes the status of an availability zone: one of its
 * own entries, or one of any zone where it has none.
 */
export function selectStatusWriter(
  zone: string,
  instances: readonly Instance[],
  hash: HashFunction,
): string | undefined {
  const entries = instances
    .filter(({role}) => role === 'entry')
    .filter(({state}) => state === 'live');
  const own = entries.filter(entry => entry.zone === zone);
  const ids = (own.length > 0 ? own : entries).map(({id}) => id);
  return rankByRendezvous(`status/${zone}`, ids, hash).at(0);
}
