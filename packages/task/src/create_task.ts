import {Effect, Queue} from 'effect';
import type {Scope} from 'effect';
import type {Task} from './task.js';

interface TaskOptions<Message> {
  /** Passed to `onError`. */
  readonly name: string;
  /** Handles one message synchronously. */
  readonly handle: (message: Message) => void;
  /** Receives an error that `handle` has thrown; the task continues. */
  readonly onError: (error: unknown, name: string) => void;
}

/**
 * Creates a task that runs until the scope is closed. Messages that are sent
 * after that are dropped.
 */
export function createTask<Message>(
  options: TaskOptions<Message>,
): Effect.Effect<Task<Message>, never, Scope.Scope> {
  return Effect.gen(function* () {
    const mailbox = yield* Queue.unbounded<Message>();
    const handleAll = (messages: readonly Message[]) =>
      messages.forEach(message => {
        try {
          options.handle(message);
        } catch (error) {
          options.onError(error, options.name);
        }
      });
    const handleNextBatch = Effect.map(Queue.takeAll(mailbox), handleAll);
    yield* Effect.forkScoped(Effect.forever(handleNextBatch));
    yield* Effect.addFinalizer(() => Queue.shutdown(mailbox));
    return {
      send: message => {
        Queue.offerUnsafe(mailbox, message);
      },
    };
  });
}
