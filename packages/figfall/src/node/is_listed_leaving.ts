import type {Instance} from '@figfall/decisions';

/** Returns true if the platform lists a node as leaving. */
export function isListedLeaving(
  instances: readonly Instance[],
  id: string,
): boolean {
  return instances.some(
    instance => instance.id === id && instance.state === 'leaving',
  );
}
