import type {Instance} from '@figfall/decisions';

/** True where the platform's list says that a node is leaving. */
export function isListedLeaving(
  instances: readonly Instance[],
  id: string,
): boolean {
  return instances.some(node => node.id === id && node.state === 'leaving');
}
