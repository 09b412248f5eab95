import {createFailure, retryBudget} from '@figfall/decisions';
import type {
  BackendServer,
  RandomSource,
  ServingConfig,
} from '@figfall/decisions';
import type {Logger} from '@figfall/observability';
import {err} from 'neverthrow';
import {buildSpec} from '../calls/build_spec.js';
import {GatewayCall} from '../calls/gateway_call.js';
import {GATEWAY} from '../constants.js';
import type {ResponseSink} from '../ports/response_sink.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {CallerRequest} from '../ports/caller_request.js';
import {createCallLog} from './create_call_log.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {Fleet} from './fleet.js';
import {HeldCalls} from './held_calls.js';
import type {CallHandle} from './call_handle.js';

interface GatewayCoreOptions {
  readonly fleet: Fleet;
  readonly client: BackendClient;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly random: RandomSource;
  readonly now: () => number;
  readonly retry: {
    /** Retries earned by one request. */
    readonly ratio: number;
    /** Retries beyond these that all entries together may make. */
    readonly slack: number;
  };
}

type Budget = ReturnType<typeof retryBudget.create>;

const NO_CALL: CallHandle = {
  handleDisconnect: () => undefined,
  handleDrain: () => undefined,
};

/** The requests of one gateway, and the configuration they are served by. */
export class GatewayCore {
  private readonly calls = new Map<number, GatewayCall>();
  private callCount = 0;
  private readonly budgets = new Map<string, Budget>();
  private config?: ServingConfig;
  private leaving = false;
  private isClosed = false;
  private hasServers = false;
  private entries = 1;
  private readonly held = new HeldCalls();
  private readonly createdAt: number;

  private readonly log: ReturnType<typeof createCallLog>;

  constructor(private readonly options: GatewayCoreOptions) {
    this.createdAt = options.now();
    this.log = createCallLog({
      ...options,
      configVersion: () => this.configVersion(),
    });
  }

  /** Puts a configuration in force unless a newer one is. */
  applyConfig(config: ServingConfig): boolean {
    if (this.config && config.version <= this.config.version) return false;
    this.config = config;
    this.options.metrics.configVersion.set(config.version);
    this.options.logger.info('configuration in force', {
      version: config.version,
      routes: config.routes.length,
    });
    if (this.isInformed()) this.held.release();
    return true;
  }

  configVersion(): number {
    return this.config?.version ?? 0;
  }

  setServers(servers: readonly BackendServer[]): void {
    this.options.fleet.setServers(servers);
    this.options.client.pruneConnections(servers);
    this.hasServers = true;
    if (this.isInformed()) this.held.release();
  }

  /** Number of entries that share the retry budget. */
  setGatewayCount(entries: number): void {
    this.entries = Math.max(1, entries);
  }

  isReady(): boolean {
    return this.config !== undefined && !this.leaving;
  }

  /** Says that the entry is not ready for new callers. */
  startShutdown(): void {
    this.leaving = true;
  }

  isShuttingDown(): boolean {
    return this.leaving;
  }

  /** Refuses requests from now on, because they could not be finished. */
  rejectNewRequests(): void {
    this.isClosed = true;
  }

  isBusy(): boolean {
    return this.calls.size > 0 || !this.held.isEmpty();
  }

  tick(): void {
    if (!this.isStarting()) this.held.release();
    [...this.calls.values()].forEach(call => call.step({type: 'tick'}));
  }

  private isInformed(): boolean {
    return this.config !== undefined && this.hasServers;
  }

  /** True while what the store holds may still come in a moment. */
  private isStarting(): boolean {
    const ageMs = this.options.now() - this.createdAt;
    return !this.isInformed() && ageMs < GATEWAY.STARTUP_MS;
  }

  /** Serves one attempt of a caller. */
  serve(req: CallerRequest, sink: ResponseSink): CallHandle {
    return this.isStarting()
      ? this.held.hold(() => this.begin(req, sink))
      : this.begin(req, sink);
  }

  private begin(req: CallerRequest, sink: ResponseSink): CallHandle {
    const {random, fleet, client, now} = this.options;
    const built = this.isClosed
      ? err(createFailure('leaving', 'The entry is shutting down.'))
      : buildSpec(this.config, req, random);
    if (built.isErr()) {
      this.log.refused(req.requestId, built.error);
      sink.fail(built.error);
      return NO_CALL;
    }
    const spec = built.value;
    this.earnRetry(spec.service.name);
    let hasEnded = false;
    const callId = (this.callCount += 1);
    const call = new GatewayCall({
      spec,
      sink,
      fleet,
      client,
      now,
      spendRetry: service => this.spendRetry(service),
      trace: this.log.trace,
      onEnd: outcome => {
        hasEnded = true;
        this.calls.delete(callId);
        this.log.ended(spec, outcome);
      },
    });
    if (!hasEnded) this.calls.set(callId, call);
    return {
      handleDisconnect: () => call.step({type: 'caller-disconnected'}),
      handleDrain: () => call.drained(),
    };
  }

  private retryOptions() {
    const {ratio, slack} = this.options.retry;
    return {
      ratio: ratio * GATEWAY.RETRY_SHARE,
      burst: (slack * GATEWAY.RETRY_SHARE) / this.entries,
    };
  }

  private budget(service: string): Budget {
    return this.budgets.get(service) ?? retryBudget.create(this.retryOptions());
  }

  private earnRetry(service: string): void {
    this.budgets.set(
      service,
      retryBudget.recordAttempt(this.budget(service), this.retryOptions()),
    );
  }

  private spendRetry(service: string): boolean {
    const spent = retryBudget.spend(this.budget(service));
    this.budgets.set(service, spent.budget);
    this.options.metrics.retries.inc({
      result: spent.allowed ? 'sent' : 'over-budget',
    });
    return spent.allowed;
  }
}
