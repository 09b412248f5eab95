import {createCallerServer} from '@figfall/caller';
import type {CallerHandler} from '@figfall/caller';
import {createFailure} from '@figfall/decisions';
import {createLinkPool} from '@figfall/node-link';
import {repeatEvery} from '@figfall/task';
import type {Task} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {createNodeContext} from '../node/create_node_context.js';
import type {NodeContext} from '../node/node_context.js';
import {startNode} from '../node/start_node.js';
import {waitUntil} from '../node/wait_until.js';
import {authorize} from './authorize.js';
import {ENTRY} from './entry_constants.js';
import {EntryCore} from './entry_core.js';
import type {EntryMessage} from './entry_message.js';
import type {EntrySettings} from './entry_settings.js';
import {findTarget} from './find_target.js';

/** A running entry. */
interface Entry {
  /** TCP port on which the entry serves callers. */
  readonly httpPort: number;
  readonly isReady: () => boolean;
  /**
   * Refuses new requests and resolves once all others have ended, or after
   * `shutdownMs`.
   */
  readonly drain: () => Promise<void>;
}

function createHandler(
  core: EntryCore,
  task: Task<EntryMessage>,
  context: NodeContext,
): CallerHandler {
  return {
    checkAccess: metadata => {
      if (core.isShuttingDown()) {
        return createFailure('leaving', 'The entry is shutting down.');
      }
      if (!core.isReady()) {
        return createFailure(
          'not-ready',
          'The entry has not loaded its configuration yet.',
        );
      }
      return authorize(core.configView(), metadata);
    },
    complete: (req, sink) => task.send({type: 'complete', req, sink}),
    callService: (req, onDisconnect) =>
      new Promise(reply =>
        task.send({type: 'service', req, onDisconnect, reply}),
      ),
    models: workspace => findTarget.modelNames(core.configView(), workspace),
    isReady: () => core.isReady(),
    metrics: () => context.metrics.registry.metrics(),
  };
}

/** Starts an entry, which stops when its scope closes. */
export function createEntry(
  settings: EntrySettings,
): Effect.Effect<Entry, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const context = yield* Effect.promise(() =>
      createNodeContext(settings, 'entry'),
    );
    const {logger, linkOptions, random} = context;
    const core = new EntryCore({
      context,
      settings,
      setPeers: peers => pool.setPeers(peers),
      send: message => task.send(message),
    });
    const task: Task<EntryMessage> = yield* startNode<EntryMessage>(
      context,
      core,
    );
    const pool = yield* createLinkPool({
      ...linkOptions,
      random,
      onEvent: event => task.send({type: 'link', event}),
    });
    yield* repeatEvery(ENTRY.TICK_MS, () => task.send({type: 'tick'}));
    const server = yield* createCallerServer({
      host: settings.httpHost,
      port: settings.httpPort,
      handler: createHandler(core, task, context),
    });
    logger.info('entry started', {port: server.port});
    return {
      httpPort: server.port,
      isReady: () => core.isReady(),
      drain: async () => {
        task.send({type: 'start-shutdown'});
        await waitUntil(() => !core.isBusy(), settings.shutdownMs);
        server.stopListening();
      },
    };
  });
}
