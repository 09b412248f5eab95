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
import {GuardedRuns} from './guarded_runs.js';
import {LedgerSweeper} from './ledger_sweeper.js';
import {OrderDesk} from './order_desk.js';

/** A running agent. */
interface Agent {
  /** Port on which entries link to the agent. */
  readonly linkPort: number;
  /** Port on which health and metrics are served. */
  readonly metricsPort: number;
  /** Takes no new work and resolves once running work has ended. */
  readonly drain: () => Promise<void>;
}

const LEDGER_RETRY_MS = 100;
const MS_PER_SECOND = 1_000;

/** Starts the agent of one backend server; it lives as long as the scope. */
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
    const guarded = new GuardedRuns({
      context,
      ledger,
      retentionMs: settings.keyRetentionMs,
    });
    const runner = new CallRunner({
      context,
      backendUrl: settings.backendUrl,
      guarded,
      task: () => task,
    });
    const orders = new OrderDesk({
      context,
      backendServer: settings.backendServer,
      engine: runner.engine,
      weightStoreLoads: settings.weightStoreLoads,
    });
    const core = new AgentCore({context, settings, runner, orders});
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
    yield* repeatEvery(AGENT.TICK_MS, () => task.send({type: 'tick'}));
    yield* repeatEvery(AGENT.FATE_MS / 10, () => {
      guarded.tick();
      ledger.forgetIdle(Date.now());
    });
    yield* repeatEvery(AGENT.SWEEP_MS, () => {
      const server = core.record();
      if (server?.kind !== 'plain-service') return;
      void sweeper.sweep(server.service ?? server.name, Date.now());
    });
    yield* repeatEvery(AGENT.LOAD_MS, () => {
      const server = core.record();
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
