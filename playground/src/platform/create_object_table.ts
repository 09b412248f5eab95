import type {PlatformObjectList, PlatformObject} from '@figfall/platform';

type Listener = () => void;

/** The objects of the stand-in platform, in memory. */
export function createObjectTable() {
  const objects = new Map<string, PlatformObject>();
  const listeners = new Set<Listener>();
  let revision = 0;

  const listByPrefix = (prefix: string, since: number): PlatformObjectList => ({
    revision,
    objects: [...objects.values()].filter(
      ({key, version}) => key.startsWith(prefix) && version > since,
    ),
  });

  return {
    get: (key: string) => objects.get(key),
    listByPrefix,
    versionOf: (key: string) => objects.get(key)?.version ?? 0,

    put: (key: string, value: string): number => {
      revision += 1;
      objects.set(key, {key, version: revision, value});
      [...listeners].forEach(listener => listener());
      return revision;
    },

    remove: (key: string): void => {
      objects.delete(key);
    },

    /** Resolves at the next change under a prefix, or after a time. */
    waitForChange: (prefix: string, since: number, waitMs: number) =>
      new Promise<void>(resolve => {
        const finish = () => {
          clearTimeout(timer);
          listeners.delete(check);
          resolve();
        };
        const check = () => {
          if (listByPrefix(prefix, since).objects.length > 0) finish();
        };
        const timer = setTimeout(finish, waitMs).unref();
        listeners.add(check);
        check();
      }),
  };
}
