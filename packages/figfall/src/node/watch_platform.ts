import {isWatcher} from '@figfall/decisions';
import type {ConfigEntry, Instance} from '@figfall/decisions';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import type {NodeContext} from './node_context.js';
import {PlatformWatcher} from './platform_watcher.js';

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
  const watcher = new PlatformWatcher({
    platform,
    random,
    isWatcher: () => isWatcher(self, options.instances(), hash),
    onEntries: options.onEntries,
  });

  return Effect.gen(function* () {
    yield* Effect.addFinalizer(() => Effect.sync(() => watcher.stop()));
    const readAndWait = Effect.flatMap(
      Effect.promise(() => watcher.step()),
      delayMs => Effect.sleep(delayMs),
    );
    yield* Effect.forkScoped(Effect.forever(readAndWait));
  });
}
