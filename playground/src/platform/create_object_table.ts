import type {PlatformObjectList, PlatformObject} from '@figfall/platform';

type Listener = () => void;

/** Creates the in-memory object store of the fake platform. */
export function createObjectTable() {
  const objects = new Map<string, PlatformObject>();
  const listeners = new Set<Listener>();
  let revision = 0;

  /** Returns the objects under a prefix that changed after a revision. */
  const listByPrefix = (prefix: string, since: number): PlatformObjectList => ({
    revision,
    objects: [...objects.values()].filter(
      ({key, version}) => key.startsWith(prefix) && version > since,
    ),
  });

  return {
    get: (key: string) => objects.get(key),
    listByPrefix,
    /** Returns 0 if there is no such object. */
    versionOf: (key: string) => objects.get(key)?.version ?? 0,

    /** Stores a value and returns its version, the store's new revision. */
    put: (key: string, value: string): number => {
      revision += 1;
      objects.set(key, {key, version: revision, value});
      [...listeners].forEach(listener => listener());
      return revision;
    },

    /** Watches do not report removals. */
    remove: (key: string): void => {
      objects.delete(key);
    },

    /** Resolves once an object is newer than `since`, or after `waitMs`. */
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
