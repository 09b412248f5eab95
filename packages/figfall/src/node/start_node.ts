import type {ConfigEntry, Instance} from '@figfall/decisions';
import {createTask} from '@figfall/task';
import type {Task} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import type {NodeContext} from './node_context.js';
import {pollInstances} from './poll_instances.js';
import {watchPlatform} from './watch_platform.js';

/** Messages that the tasks of entries and agents handle. */
type CommonMessage =
  | {readonly type: 'entries'; readonly entries: readonly ConfigEntry[]}
  | {readonly type: 'instances'; readonly instances: readonly Instance[]};

interface NodeCore<Message> {
  readonly handle: (message: Message) => void;
  readonly instanceList: () => readonly Instance[];
}

/**
 * Starts the task of a node and its readers of the platform's records and
 * instances. Errors of the task's handler are logged.
 */
export function startNode<Message>(
  context: NodeContext,
  core: NodeCore<Message | CommonMessage>,
): Effect.Effect<Task<Message | CommonMessage>, never, Scope.Scope> {
  const {logger, tracing, identity} = context;
  return Effect.gen(function* () {
    yield* Effect.addFinalizer(() => Effect.promise(tracing.shutdown));
    const task = yield* createTask<Message | CommonMessage>({
      name: identity.role,
      handle: message => core.handle(message),
      onError: error =>
        logger.error((error as Error).stack ?? String(error), {
          kind: 'internal-error',
        }),
    });
    yield* watchPlatform({
      context,
      instances: () => core.instanceList(),
      onEntries: entries => task.send({type: 'entries', entries}),
    });
    yield* pollInstances(context, instances =>
      task.send({type: 'instances', instances}),
    );
    return task;
  });
}
