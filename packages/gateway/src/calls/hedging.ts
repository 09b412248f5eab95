import type {CallOptions, CallState} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {Placement} from '../core/placement.js';
import type {BackendAttempt} from './backend_attempt.js';
import type {CallAttempts} from './call_attempts.js';
import type {CallResponse} from './call_response.js';
import type {GatewayCallContext} from './gateway_call_context.js';
import {Hedge} from './hedge.js';
import type {HedgeEnd} from './hedge_end.js';
import {heldMemoryTimeoutMs} from './held_memory_timeout_ms.js';
import {SILENCE_FAILURE} from './silence_failure.js';
import {silenceTimeoutMs} from './silence_timeout_ms.js';

interface HedgingOptions {
  readonly ctx: GatewayCallContext;
  readonly attempts: CallAttempts;
  readonly state: () => CallState;
  readonly callOptions: () => CallOptions;
  readonly response: CallResponse;
  /** Placement of the current attempt. */
  readonly placement: () => Placement | undefined;
  /** The call's current attempt. */
  readonly attempt: () => BackendAttempt | undefined;
  /** Called to end the silent attempt and to go on with the hedge. */
  readonly replace: () => void;
  /** Called if a hedge that is not taken over may have run. */
  readonly onMayHaveRun: () => void;
}

/**
 * Hedges of one call, one at a time. The silent attempt goes on beside its
 * hedge, since a sound server may fall silent for a moment. If it holds memory
 * on other servers, it ends some time later, as that memory may have no user.
 */
export class Hedging {
  private hedge?: Hedge;
  /** Time in milliseconds at which the hedge started. */
  private hedgedAt = 0;
  /** Time in milliseconds from which a hedge may start. */
  private startAt = Infinity;
  /** Ids of the servers whose hedges were lost. */
  private lostAt: readonly string[] = [];

  constructor(private readonly options: HedgingOptions) {}

  /** Starts a hedge as soon as a server can take it. */
  request(): void {
    this.startAt = this.options.ctx.now();
    this.tick();
  }

  /** Tries again to start a hedge that was requested. */
  tick(): void {
    const now = this.options.ctx.now();
    if (now < this.startAt) return;
    this.endSilentHedge();
    if (this.holdsUnusedMemory()) return this.options.replace();
    if (this.hedge || !this.mayStart()) return;
    this.startAt = now + GATEWAY.HEDGE_INTERVAL_MS;
    this.start();
  }

  /** The hedge that waits for its answer. */
  current(): Hedge | undefined {
    return this.hedge;
  }

  /** Hands the hedge over to the call. */
  take(): Hedge | undefined {
    const {hedge} = this;
    this.hedge = undefined;
    this.startAt = Infinity;
    return hedge;
  }

  /** Ends the hedge, and any request for one. */
  end(): void {
    if (this.startAt === Infinity) return;
    const hedge = this.take();
    hedge?.attempt.end();
    if (hedge?.mayHaveRun()) this.options.onMayHaveRun();
  }

  private start(): void {
    const {ctx, attempts, state, response, replace} = this.options;
    const {agentId = '', nextIndex} = state();
    const exclude = [agentId, ...this.lostAt];
    const lastEventAt = response.lastEventAt();
    const options = {exclude, lastEventAt, isHedge: true};
    const placed = attempts.place(options, SILENCE_FAILURE);
    const server = placed.isOk() && ctx.fleet.find(placed.value.serverId);
    if (placed.isErr() || !server) return;
    const target = {
      attemptId: attempts.newestId(),
      placement: placed.value,
      server,
      lastEventId: response.lastEventId(nextIndex),
    };
    this.hedgedAt = ctx.now();
    this.hedge = new Hedge({
      ...target,
      hasBegun: nextIndex > 0,
      open: onEvent => attempts.open({...target, onEvent}),
      onAnswer: replace,
      onLost: end => this.onLost(server.id, end),
    });
  }

  /**
   * Ends a hedge that is silent itself, if another may follow it, or if it
   * holds memory on other servers.
   */
  private endSilentHedge(): void {
    const {hedge} = this;
    if (!hedge) return;
    const {ctx, state, callOptions} = this.options;
    const {placement, attempt} = hedge;
    const holdsMemory = attempt.holdsMemory();
    const limitMs = holdsMemory
      ? heldMemoryTimeoutMs(placement)
      : silenceTimeoutMs(ctx.spec, placement);
    if (ctx.now() - this.hedgedAt < limitMs) return;
    const mayFollow = state().attempts + 1 < callOptions().maxAttempts;
    if (!mayFollow && !holdsMemory) return;
    const result = hedge.mayHaveRun() ? 'failed' : 'refused';
    const {message: reason} = SILENCE_FAILURE;
    const end: HedgeEnd = {result, reason, isUnreachable: false};
    this.onLost(placement.serverId, end);
  }

  private onLost(serverId: string, end: HedgeEnd): void {
    this.hedge?.attempt.end();
    this.hedge = undefined;
    this.lostAt = [...this.lostAt, serverId];
    const {ctx, onMayHaveRun} = this.options;
    const {result, reason, isUnreachable} = end;
    const attempt = {serverId, result, reason, isHedge: true};
    ctx.observer.onAttemptEnded(ctx.spec, attempt);
    if (isUnreachable) ctx.fleet.recordOutcome(serverId, 'unreachable');
    if (result === 'refused') return;
    ctx.fleet.recordOutcome(serverId, 'failed');
    onMayHaveRun();
  }

  private holdsUnusedMemory(): boolean {
    const {attempt, placement} = this.options;
    const held = attempt()?.holdsMemory() ? placement() : undefined;
    if (!held || !this.mayStart()) return false;
    const {lastReceivedAt} = this.options.state();
    const silentMs = this.options.ctx.now() - lastReceivedAt;
    return silentMs >= heldMemoryTimeoutMs(held);
  }

  private mayStart(): boolean {
    const {state, attempt} = this.options;
    const {phase, attempts} = state();
    if (phase !== 'active' || attempt()?.isPaused()) return false;
    const {maxAttempts} = this.options.callOptions();
    return attempts < maxAttempts && !this.isSilenceExpected();
  }

  /** True while the server's known backlog accounts for its silence. */
  private isSilenceExpected(): boolean {
    const {ctx, state, callOptions} = this.options;
    const {agentId = '', lastReceivedAt} = state();
    const {knownBacklogMs} = ctx.fleet.work.loadOf(agentId);
    const allowedMs = callOptions().progressTimeoutMs + knownBacklogMs;
    return ctx.now() - lastReceivedAt < allowedMs;
  }
}
