import {Effect} from 'effect';
import type {Scope} from 'effect';

/**
 * Runs an action every `intervalMs` milliseconds until the scope is closed; the
 * first run is after one interval.
 */
export function repeatEvery(
  intervalMs: number,
  action: () => void,
): Effect.Effect<void, never, Scope.Scope> {
  const step = Effect.andThen(Effect.sleep(intervalMs), Effect.sync(action));
  return Effect.asVoid(Effect.forkScoped(Effect.forever(step)));
}
