import {Effect} from 'effect';
import type {Scope} from 'effect';

/** Runs an action at an interval in milliseconds while the scope is open. */
export function repeatEvery(
  intervalMs: number,
  action: () => void,
): Effect.Effect<void, never, Scope.Scope> {
  const step = Effect.andThen(Effect.sleep(intervalMs), Effect.sync(action));
  return Effect.asVoid(Effect.forkScoped(Effect.forever(step)));
}
