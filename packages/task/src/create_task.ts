import {Effect, Queue} from 'effect';
import type {Scope} from 'effect';
import type {Task} from './task.js';

interface TaskOptions<Message> {
  readonly name: string;
  /** Handles one message; runs to its end before the next one. */
  readonly handle: (message: Message) => void;
  /** Learns of an error that `handle` threw; the task goes on. */
  readonly onError: (error: unknown, name: string) => void;
}

/**
 * Creates a task with a mailbox that lives as long as the scope. Messages
 * that come after the scope has closed are dropped.
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
    const step = Effect.map(Queue.takeAll(mailbox), handleAll);
    yield* Effect.forkScoped(Effect.forever(step));
    yield* Effect.addFinalizer(() => Queue.shutdown(mailbox));
    return {
      send: message => {
        Queue.offerUnsafe(mailbox, message);
      },
    };
  });
}
