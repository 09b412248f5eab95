import {isWatcher} from '@figfall/decisions';
import type {ConfigEntry, Instance} from '@figfall/decisions';
import {recordKeys} from '@figfall/operator';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import type {NodeContext} from './node_context.js';
import {toConfigEntry} from './to_config_entry.js';

/** Milliseconds between checks of whether this node is a watcher. */
const WATCHER_CHECK_MS = 500;

/** Average milliseconds before a failed read is retried. */
const RETRY_DELAY_MS = 500;

interface WatchOptions {
  readonly context: NodeContext;
  readonly instances: () => readonly Instance[];
  readonly onEntries: (entries: readonly ConfigEntry[]) => void;
}

/**
 * Reads all records at the start, and watches for changes while this node is
 * one of the watchers of its availability zone. Other nodes get changes from
 * their peers.
 */
export function watchPlatform(
  options: WatchOptions,
): Effect.Effect<void, never, Scope.Scope> {
  const {platform, identity, settings, hash, random} = options.context;
  const self = {id: identity.id, zone: settings.zone};
  const stop = new AbortController();
  let revision = 0;
  let hasListed = false;

  const list = async (): Promise<number> => {
    const listed = await platform.list(recordKeys.prefix);
    if (listed.isErr()) return RETRY_DELAY_MS * (0.5 + random());
    hasListed = true;
    revision = listed.value.revision;
    options.onEntries(listed.value.objects.map(toConfigEntry));
    return 0;
  };

  const watch = async (): Promise<number> => {
    const changed = await platform.watch(
      recordKeys.prefix,
      revision,
      stop.signal,
    );
    if (changed.isErr()) return RETRY_DELAY_MS * (0.5 + random());
    revision = Math.max(revision, changed.value.revision);
    options.onEntries(changed.value.objects.map(toConfigEntry));
    return 0;
  };

  /** Reads once and returns the milliseconds until the next read. */
  const readOnce = async (): Promise<number> => {
    if (!hasListed) return list();
    if (!isWatcher(self, options.instances(), hash)) return WATCHER_CHECK_MS;
    return watch();
  };

  return Effect.gen(function* () {
    yield* Effect.addFinalizer(() => Effect.sync(() => stop.abort()));
    const readAndWait = Effect.flatMap(Effect.promise(readOnce), delayMs =>
      Effect.sleep(delayMs),
    );
    yield* Effect.forkScoped(Effect.forever(readAndWait));
  });
}
