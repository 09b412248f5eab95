import type {Instance} from '@figfall/decisions';

interface Snapshot {
  /** Time of the change, in milliseconds since the epoch. */
  readonly at: number;
  readonly instances: readonly Instance[];
}

/**
 * Creates the instance list of the fake platform. It keeps all past versions,
 * to serve the list with a delay.
 */
export function createInstanceTable() {
  let history: readonly Snapshot[] = [{at: 0, instances: []}];
  const current = () => history.at(-1)?.instances ?? [];
  const append = (instances: readonly Instance[]) => {
    history = [...history, {at: Date.now(), instances}];
  };
  return {
    current,
    set: (instance: Instance) =>
      append([...current().filter(({id}) => id !== instance.id), instance]),
    remove: (instanceId: string) =>
      append(current().filter(({id}) => id !== instanceId)),
    /** Returns the list as it was `delayMs` ago. */
    listDelayed: (delayMs: number): readonly Instance[] => {
      const cutoff = Date.now() - delayMs;
      const snapshot = history.filter(({at}) => at <= cutoff).at(-1);
      return snapshot?.instances ?? [];
    },
  };
}
