import type {Instance} from '@figfall/decisions';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import type {NodeContext} from './node_context.js';

/** Least milliseconds between two reads of the list by one node. */
const POLL_MIN_MS = 1_000;

/** Milliseconds that each instance adds, so that all together read 50 times a second. */
const POLL_PER_INSTANCE_MS = 20;

/**
 * Reads the platform's list of instances and tells of changes. The last list
 * stands during an outage.
 */
export function pollInstances(
  context: NodeContext,
  onInstances: (instances: readonly Instance[]) => void,
): Effect.Effect<void, never, Scope.Scope> {
  let lastText = '';

  const step = async (): Promise<number> => {
    const listed = await context.platform.instances();
    if (listed.isErr()) return POLL_MIN_MS * (0.5 + context.random());
    const text = JSON.stringify(listed.value);
    if (text !== lastText) onInstances(listed.value);
    lastText = text;
    const pauseMs = Math.max(
      POLL_MIN_MS,
      listed.value.length * POLL_PER_INSTANCE_MS,
    );
    return pauseMs * (0.75 + context.random() / 2);
  };
  const turn = Effect.flatMap(Effect.promise(step), pauseMs =>
    Effect.sleep(pauseMs),
  );
  return Effect.asVoid(Effect.forkScoped(Effect.forever(turn)));
}
