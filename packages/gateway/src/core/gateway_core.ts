import type {
  BackendServer,
  Failure,
  RandomSource,
  ServingConfig,
} from '@figfall/decisions';
import type {Logger} from '@figfall/observability';
import {currentPriority} from '../calls/current_priority.js';
import {GatewayCall} from '../calls/gateway_call.js';
import {GATEWAY} from '../constants.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {CallerRequest} from '../ports/caller_request.js';
import type {ResponseSink} from '../ports/response_sink.js';
import type {CallHandle} from './call_handle.js';
import {createCallLog} from './create_call_log.js';
import type {Fleet} from './fleet.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import {LimitChecks} from './limit_checks.js';
import {NO_CALL} from './no_call.js';
import type {PermitGateways} from './permit_gateways.js';
import {resolveRequest} from './resolve_request.js';
import type {RetryBounds} from './retry_bounds.js';
import {RetryBudgets} from './retry_budgets.js';
import {ShutdownState} from './shutdown_state.js';
import {StartupQueue} from './startup_queue.js';
import {StartupRefusals} from './startup_refusals.js';

interface GatewayCoreOptions {
  readonly fleet: Fleet;
  readonly client: BackendClient;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly random: RandomSource;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  readonly retry: RetryBounds;
  /**
   * Runs an action once what callers have sent by then has been read.
   * @default at once
   */
  readonly afterReads?: (action: () => void) => void;
}

/** Serves the requests of one gateway by its current configuration. */
export class GatewayCore {
  private readonly calls = new Map<number, GatewayCall>();
  private callCount = 0;
  private config?: ServingConfig;
  private readonly shutdown: ShutdownState;
  private hasServers = false;
  private readonly retries: RetryBudgets;
  private readonly startupQueue = new StartupQueue();
  private readonly afterReads: (action: () => void) => void;
  private readonly startupRefusals: StartupRefusals;
  private notifyArrival: () => void = () => undefined;
  private readonly limitChecks: LimitChecks;
  private readonly log: ReturnType<typeof createCallLog>;

  constructor(private readonly options: GatewayCoreOptions) {
    this.startupRefusals = new StartupRefusals(options);
    this.afterReads = options.afterReads ?? (action => action());
    this.shutdown = new ShutdownState(options.now);
    this.retries = new RetryBudgets(options.retry);
    const {limits} = options.fleet;
    this.limitChecks = new LimitChecks({...options, limits});
    this.log = createCallLog({
      ...options,
      configVersion: () => this.configVersion(),
    });
  }

  /** Applies a configuration; false if its version is not newer. */
  applyConfig(config: ServingConfig): boolean {
    if (this.config && config.version <= this.config.version) return false;
    this.config = config;
    this.options.metrics.configVersion.set(config.version);
    this.options.logger.info('configuration in force', {
      version: config.version,
      routes: config.routes.length,
    });
    this.startIfReady();
    return true;
  }

  /** Version of the current configuration; 0 before the first one. */
  configVersion(): number {
    return this.config?.version ?? 0;
  }

  /** Replaces the list of backend servers. */
  setServers(servers: readonly BackendServer[]): void {
    this.options.fleet.setServers(servers);
    this.options.client.pruneConnections(servers);
    this.hasServers = true;
    this.startIfReady();
  }

  /** Replaces the bounds of the retry budget. */
  setRetryBudget(bounds: RetryBounds): void {
    this.retries.setBounds(bounds);
  }

  /**
   * Sets the gateways that share the retry budget and the limits of servers.
   * One that is not linked counts, too: it may be at work behind a cut.
   */
  setGateways(gateways: PermitGateways): void {
    this.retries.setGatewayCount(gateways.total);
    this.options.fleet.limits.permits.setGateways(gateways);
  }

  /** True if there is a configuration and no shutdown has started. */
  isReady(): boolean {
    return this.config !== undefined && !this.shutdown.hasStarted();
  }

  /**
   * Reports not ready, so that callers move away. New requests are served for a
   * share of the `graceMs` milliseconds after which the process is killed.
   */
  startShutdown(graceMs: number): void {
    this.shutdown.start(graceMs);
  }

  isShuttingDown(): boolean {
    return this.shutdown.hasStarted();
  }

  /** Ends the requests that could not finish before the process has to end. */
  endRequests(): void {
    this.startupQueue.flush();
    this.calls.forEach(call => call.end(this.shutdown.failure()));
  }

  private endWaiting(): void {
    const waiting = [...this.calls.values()].filter(call => call.isWaiting());
    waiting.forEach(call => call.end(this.shutdown.failure()));
  }

  /** True while a request is queued or in progress. */
  isBusy(): boolean {
    return this.calls.size > 0 || !this.startupQueue.isEmpty();
  }

  /** True while checks are due every `GATEWAY.TICK_MS`. */
  needsTicks(): boolean {
    if (this.isBusy() || this.isStarting() || this.isShuttingDown()) {
      return true;
    }
    return this.options.fleet.limits.limitedServerIds().length > 0;
  }

  /** Sets what is called when a request arrives, which needs checks. */
  onArrival(listener: () => void): void {
    this.notifyArrival = listener;
  }

  /**
   * Checks deadlines and silent attempts.
   * @param delayMs Milliseconds by which the checks are late
   */
  tick(delayMs = 0): void {
    this.options.metrics.tickDelaySeconds.observe(delayMs / 1_000);
    if (!this.isStarting()) this.startupQueue.flush();
    this.startupQueue.flushUntil(this.options.now());
    this.options.fleet.limits.permits.tick();
    this.limitChecks.tick();
    [...this.calls.values()].forEach(call => call.tick());
    if (!this.shutdown.maySend()) this.endWaiting();
  }

  /** Starts the requests that came before the first configuration and servers. */
  private startIfReady(): void {
    if (!this.hasInitialState()) return;
    this.startupQueue.takeAll().forEach(begin => this.afterReads(begin));
  }

  private hasInitialState(): boolean {
    return this.config !== undefined && this.hasServers;
  }

  /** True while requests wait for the first configuration and servers. */
  private isStarting(): boolean {
    return !this.hasInitialState() && !this.shutdown.requestRefusal();
  }

  /** Serves one request of a caller and sends the response to `sink`. */
  serve(req: CallerRequest, sink: ResponseSink): CallHandle {
    this.notifyArrival();
    if (!this.isStarting()) return this.begin(req, sink);
    const {STARTUP_WAIT_MS, STARTUP_WAIT_SHARE} = GATEWAY;
    const shareMs = req.timeoutMs * STARTUP_WAIT_SHARE;
    const until = req.arrivedAt + Math.min(STARTUP_WAIT_MS, shareMs);
    return this.startupQueue.enqueue(() => this.begin(req, sink), until);
  }

  private begin(req: CallerRequest, sink: ResponseSink): CallHandle {
    const {fleet, client, now, random} = this.options;
    const {config, hasServers, shutdown, startupRefusals} = this;
    const state = {config, hasServers, shutdown, startupRefusals};
    const built = resolveRequest(req, {...state, random});
    if (built.isErr()) {
      this.log.onRejected(req.requestId, built.error);
      sink.fail(built.error);
      return NO_CALL;
    }
    const spec = built.value;
    this.retries.credit(spec.service.name);
    let hasEnded = false;
    const callId = (this.callCount += 1);
    const call = new GatewayCall({
      spec,
      sink,
      fleet,
      client,
      now,
      afterReads: this.afterReads,
      spendRetry: service => this.spendRetry(service),
      sendRefusal: () => this.shutdown.sendRefusal(spec),
      currentPriority: () => currentPriority(spec, this.config),
      observer: this.log.observer,
      onEnd: outcome => {
        hasEnded = true;
        this.calls.delete(callId);
        this.log.onEnded(spec, outcome);
      },
    });
    if (!hasEnded) this.calls.set(callId, call);
    return {
      handleDisconnect: () => call.step({type: 'caller-disconnected'}),
      handleDrain: () => call.handleDrain(),
    };
  }

  /** Records a request that was refused before it was read. */
  recordRejected(requestId: string, failure: Failure): void {
    this.log.onRejected(requestId, failure);
  }

  private spendRetry(service: string): boolean {
    const isAllowed = this.retries.spend(service);
    this.options.metrics.retries.inc({
      result: isAllowed ? 'sent' : 'over-budget',
    });
    return isAllowed;
  }
}
