import {rankByRendezvous} from '@figfall/decisions';
import type {HashFunction, Instance} from '@figfall/decisions';

/**
 * Selects the entry that writes the status of an availability zone: one of
 * the zone's live entries, or one of another zone if it has none. All nodes
 * with the same list of instances select the same entry.
 */
export function selectStatusWriter(
  zone: string,
  instances: readonly Instance[],
  hash: HashFunction,
): string | undefined {
  const entries = instances
    .filter(({role}) => role === 'entry')
    .filter(({state}) => state === 'live');
  const zoneEntries = entries.filter(entry => entry.zone === zone);
  const ids = (zoneEntries.length > 0 ? zoneEntries : entries).map(
    ({id}) => id,
  );
  return rankByRendezvous(`status/${zone}`, ids, hash).at(0);
}
