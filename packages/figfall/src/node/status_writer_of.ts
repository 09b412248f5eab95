import {rankByRendezvous} from '@figfall/decisions';
import type {HashFunction, Instance} from '@figfall/decisions';

/** Finds the entry that writes the status of an availability zone. */
export function statusWriterOf(
  zone: string,
  instances: readonly Instance[],
  hash: HashFunction,
): string | undefined {
  const ids = instances
    .filter(instance => instance.role === 'entry' && instance.zone === zone)
    .filter(({state}) => state === 'live')
    .map(({id}) => id);
  return rankByRendezvous(`status/${zone}`, ids, hash).at(0);
}
