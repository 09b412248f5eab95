import {createLinkServer} from '@figfall/node-link';
import {repeatEvery} from '@figfall/task';
import type {Task} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {createNodeContext} from '../node/create_node_context.js';
import {startNode} from '../node/start_node.js';
import {waitUntil} from '../node/wait_until.js';
import {AGENT} from './agent_constants.js';
import {AgentCore} from './agent_core.js';
import type {AgentMessage} from './agent_message.js';
import type {AgentSettings} from './agent_settings.js';
import {CallRunner} from './call_runner.js';
import {ClaimLedger} from './claim_ledger.js';
import {createAgentHttp} from './create_agent_http.js';
import {AtMostOnceRunner} from './at_most_once_runner.js';
import {LedgerSweeper} from './ledger_sweeper.js';
import {ModelReconciler} from './model_reconciler.js';

/** A running agent. */
interface Agent {
  /** Port on which the agent accepts links from entries. */
  readonly linkPort: number;
  /** Port that serves health and metrics over HTTP. */
  readonly metricsPort: number;
  /**
   * Stops accepting calls and resolves once all calls have ended, or after
   * `shutdownMs`.
   */
  readonly drain: () => Promise<void>;
}

const LEDGER_RETRY_MS = 100;
const MS_PER_SECOND = 1_000;

/**
 * Starts the agent of one backend server; closing the scope stops it. Fails if
 * a port can't be bound.
 */
export function createAgent(
  settings: AgentSettings,
): Effect.Effect<Agent, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const context = yield* Effect.promise(() =>
      createNodeContext(settings, 'agent'),
    );
    const {logger} = context;
    const ledger = new ClaimLedger({
      platform: context.platform,
      writer: {
        minIntervalMs:
          (MS_PER_SECOND * AGENT.LEDGER_SHARDS) /
          settings.ledgerWritesPerSecond,
        sealBytes: AGENT.LEDGER_SEAL_BYTES,
        retryMs: LEDGER_RETRY_MS,
      },
    });
    yield* Effect.addFinalizer(() => Effect.sync(() => ledger.close()));
    const sweeper = new LedgerSweeper({
      platform: context.platform,
      retentionMs: settings.keyRetentionMs,
    });
    const atMostOnce = new AtMostOnceRunner({
      context,
      ledger,
      retentionMs: settings.keyRetentionMs,
    });
    const runner = new CallRunner({
      context,
      backendUrl: settings.backendUrl,
      atMostOnce,
      task: () => task,
    });
    const modelReconciler = new ModelReconciler({
      context,
      backendServer: settings.backendServer,
      engineClient: runner.engineClient,
      weightStoreLoads: settings.weightStoreLoads,
    });
    const core = new AgentCore({context, settings, runner, modelReconciler});
    const task: Task<AgentMessage> = yield* startNode<AgentMessage>(
      context,
      core,
    );
    const server = yield* createLinkServer({
      ...context.linkOptions,
      host: settings.linkHost,
      port: settings.linkPort,
      onEvent: event => task.send({type: 'link', event}),
    });
    const http = yield* createAgentHttp({
      host: settings.linkHost,
      port: settings.metricsPort,
      isReady: () => core.isReady(),
      metrics: () => context.metrics.registry.metrics(),
    });
    yield* repeatEvery(AGENT.TIMER_INTERVAL_MS, () =>
      task.send({type: 'tick'}),
    );
    yield* repeatEvery(AGENT.ATTEMPT_RETENTION_MS / 10, () => {
      atMostOnce.removeExpired();
      ledger.removeIdle(Date.now());
    });
    yield* repeatEvery(AGENT.LEDGER_SWEEP_INTERVAL_MS, () => {
      const server = core.serverRecord();
      if (server?.kind !== 'plain-service') return;
      void sweeper.sweep(server.service ?? server.name, Date.now());
    });
    yield* repeatEvery(AGENT.LOAD_POLL_INTERVAL_MS, () => {
      const server = core.serverRecord();
      if (server) void runner.readLoad(server.kind);
    });
    const {port} = server;
    logger.info('agent started', {port, metricsPort: http.port});
    return {
      linkPort: port,
      metricsPort: http.port,
      drain: () => {
        task.send({type: 'leave'});
        return waitUntil(() => !core.isBusy(), settings.shutdownMs);
      },
    };
  });
}
