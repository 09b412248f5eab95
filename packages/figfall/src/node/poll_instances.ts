import type {Instance} from '@figfall/decisions';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import type {NodeContext} from './node_context.js';

/** Smallest average interval in milliseconds between reads by one node. */
const POLL_INTERVAL_MIN_MS = 1_000;

/**
 * Milliseconds of the interval for each listed instance, so that all nodes
 * together read at most 50 times a second on average.
 */
const POLL_INTERVAL_PER_INSTANCE_MS = 20;

/**
 * Polls the platform's list of instances and calls `onInstances` if it has
 * changed. While the platform does not answer, the last list stays valid.
 */
export function pollInstances(
  context: NodeContext,
  onInstances: (instances: readonly Instance[]) => void,
): Effect.Effect<void, never, Scope.Scope> {
  let lastJson = '';

  /** Reads the list and returns the milliseconds until the next read. */
  const poll = async (): Promise<number> => {
    const listed = await context.platform.instances();
    if (listed.isErr()) return POLL_INTERVAL_MIN_MS * (0.5 + context.random());
    const json = JSON.stringify(listed.value);
    if (json !== lastJson) onInstances(listed.value);
    lastJson = json;
    const delayMs = Math.max(
      POLL_INTERVAL_MIN_MS,
      listed.value.length * POLL_INTERVAL_PER_INSTANCE_MS,
    );
    return delayMs * (0.75 + context.random() / 2);
  };
  const pollOnce = Effect.flatMap(Effect.promise(poll), delayMs =>
    Effect.sleep(delayMs),
  );
  return Effect.asVoid(Effect.forkScoped(Effect.forever(pollOnce)));
}
