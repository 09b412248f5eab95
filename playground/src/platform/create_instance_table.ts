import type {Instance} from '@figfall/decisions';

interface Change {
  readonly at: number;
  readonly instances: readonly Instance[];
}

/** The list of instances of the stand-in platform, shown with a lag. */
export function createInstanceTable() {
  let history: readonly Change[] = [{at: 0, instances: []}];
  const current = () => history.at(-1)?.instances ?? [];
  const change = (instances: readonly Instance[]) => {
    history = [...history, {at: Date.now(), instances}];
  };
  return {
    current,
    set: (instance: Instance) =>
      change([...current().filter(({id}) => id !== instance.id), instance]),
    remove: (instanceId: string) =>
      change(current().filter(({id}) => id !== instanceId)),
    listDelayed: (lagMs: number): readonly Instance[] => {
      const until = Date.now() - lagMs;
      const seen = history.filter(({at}) => at <= until).at(-1);
      return seen?.instances ?? [];
    },
  };
}
