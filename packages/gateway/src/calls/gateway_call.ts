import {callMachine, createFailure, mayHaveRun} from '@figfall/decisions';
import type {
  CallCommand,
  CallEvent,
  CallExecutors,
  CallOptions,
  CallState,
  Failure,
} from '@figfall/decisions';
import type {Placement} from '../core/placement.js';
import type {BackendEvent} from '../ports/backend_event.js';
import {AttemptReceiver} from './attempt_receiver.js';
import type {BackendAttempt} from './backend_attempt.js';
import {CallAttempts} from './call_attempts.js';
import {CallResponse} from './call_response.js';
import {createCallOptions} from './create_call_options.js';
import type {GatewayCallContext} from './gateway_call_context.js';
import {Hedging} from './hedging.js';
import {isAnswer} from './is_answer.js';
import {SILENCE_FAILURE} from './silence_failure.js';
import {silenceTimeoutMs} from './silence_timeout_ms.js';

type RouteCommand = Extract<CallCommand, {type: 'route'}>;

/** Runs the state machine of one caller's request and its commands. */
export class GatewayCall {
  private readonly response: CallResponse;
  private readonly attempts: CallAttempts;
  private readonly receiver: AttemptReceiver;
  private readonly hedging: Hedging;
  private options: CallOptions;
  private state: CallState;
  private placement?: Placement;
  private attempt?: BackendAttempt;
  /** The retry that waits until what callers have sent has been read. */
  private pendingRoute?: RouteCommand;
  private isClosed = false;

  constructor(private readonly ctx: GatewayCallContext) {
    const {spec, sink, now} = ctx;
    this.response = new CallResponse(sink, spec.req.lastEventId, now);
    this.attempts = new CallAttempts(ctx);
    this.receiver = new AttemptReceiver({
      ctx,
      state: () => this.state,
      response: this.response,
      attempt: () => this.attempt,
      step: event => this.step(event),
    });
    this.hedging = new Hedging({
      ctx,
      attempts: this.attempts,
      state: () => this.state,
      callOptions: () => this.options,
      response: this.response,
      placement: () => this.placement,
      attempt: () => this.attempt,
      replace: () => this.replaceSilentAttempt(),
      onMayHaveRun: () => this.countLostHedge(),
    });
    this.options = createCallOptions(spec);
    const started = callMachine.start(this.options, now());
    this.state = started.state;
    this.guard(() => {
      started.commands.forEach(command => this.execute(command));
      this.closeIfEnded();
    });
  }

  step(event: CallEvent): void {
    this.guard(() => {
      const {state, options} = this;
      const next = callMachine.step(state, event, options, this.ctx.now());
      this.state = next.state;
      next.commands.forEach(command => this.execute(command));
      this.closeIfEnded();
    });
  }

  /** Checks the deadline, and whether the backend server is silent. */
  tick(): void {
    this.step({type: 'tick'});
    this.guard(() => this.hedging.tick());
  }

  /** Runs an action of this call; an error ends the call, not the process. */
  private guard(action: () => void): void {
    try {
      action();
    } catch (error) {
      this.endAfterDefect(error as Error);
    }
  }

  private endAfterDefect(error: Error): void {
    this.ctx.observer.onDefect(this.ctx.spec, error);
    if (this.isClosed) return;
    const message = 'The gateway has failed to handle the request.';
    const wasSent = this.attempts.count() > 0;
    const ran = wasSent ? mayHaveRun(this.state.ran) : this.state.ran;
    const failure = createFailure('internal-error', message, {ran});
    this.state = {...this.state, phase: 'ended'};
    try {
      this.response.fail(failure);
    } finally {
      this.closeIfEnded();
    }
  }

  /** Ends the request, with what is known of whether it has run. */
  end(failure: Failure): void {
    this.step({type: 'aborted', failure});
  }

  /** True while no backend server has the request. */
  isWaiting(): boolean {
    return this.state.phase === 'routing';
  }

  /** Resumes reading from the backend server once the sink has drained. */
  handleDrain(): void {
    if (!this.attempt?.isPaused()) return;
    this.guard(() => this.attempt?.resume());
    // The silence until now was the caller's, not the server's.
    this.step({type: 'alive', attemptId: this.state.attemptId ?? ''});
  }

  private route(command: RouteCommand): void {
    this.endAttempt();
    const hedge = this.hedging.current();
    if (hedge) return this.startAttempt(hedge.placement, hedge.attemptId);
    if (this.attempts.count() === 0) return this.place(command);
    const isPending = this.pendingRoute !== undefined;
    this.pendingRoute = command;
    if (!isPending) this.ctx.afterReads(() => this.retry());
  }

  /** Places the retry that was pending, unless the call has gone on or ended. */
  private retry(): void {
    const {pendingRoute} = this;
    this.pendingRoute = undefined;
    if (!pendingRoute || !this.isWaiting()) return;
    this.guard(() => this.place(pendingRoute));
  }

  private place({exclude}: RouteCommand): void {
    const {attempts, response, state} = this;
    const options = {exclude, lastEventAt: response.lastEventAt()};
    attempts.place(options, state.lastFailure).match(
      placement => this.startAttempt(placement, attempts.newestId()),
      failure => this.step({type: 'not-routed', failure}),
    );
  }

  private startAttempt(placement: Placement, attemptId: string): void {
    this.placement = placement;
    const progressTimeoutMs = silenceTimeoutMs(this.ctx.spec, placement);
    this.options = {...this.options, progressTimeoutMs};
    const {serverId: agentId} = placement;
    this.step({type: 'routed', agentId, agentIncarnation: '', attemptId});
  }

  private open({attemptId}: Extract<CallCommand, {type: 'open'}>): void {
    const onEvent = (event: BackendEvent) =>
      this.onBackendEvent(event, attemptId);
    const hedge = this.hedging.take();
    if (hedge) {
      this.attempt = hedge.attempt;
      return hedge.adopt(onEvent);
    }
    const {placement} = this;
    const server = placement && this.ctx.fleet.find(placement.serverId);
    if (!placement || !server) return this.refuseUnlisted(attemptId);
    const lastEventId = this.response.lastEventId(this.state.nextIndex);
    const target = {attemptId, placement, server, lastEventId, onEvent};
    this.attempt = this.attempts.open(target);
  }

  private refuseUnlisted(attemptId: string): void {
    const message = 'The backend server is no longer listed.';
    const failure = createFailure('memory-full', message);
    this.step({type: 'refused', attemptId, failure});
  }

  private onBackendEvent(event: BackendEvent, attemptId: string): void {
    if (attemptId !== this.state.attemptId) return;
    this.guard(() => {
      if (isAnswer(event, this.state.nextIndex > 0)) this.hedging.end();
      this.receiver.receive(event, attemptId);
    });
  }

  private replaceSilentAttempt(): void {
    const reason = SILENCE_FAILURE.message;
    this.onBackendEvent({type: 'failed', reason}, this.state.attemptId ?? '');
  }

  /** Counts a server that got the request but not as the current attempt. */
  private countLostHedge(): void {
    const {options} = this;
    this.options = {...options, maxAttempts: options.maxAttempts - 1};
    this.step({type: 'hedge-lost'});
  }

  private endAttempt(): void {
    this.attempt?.end();
    this.attempt = undefined;
  }

  private closeIfEnded(): void {
    if (this.state.phase !== 'ended' || this.isClosed) return;
    this.isClosed = true;
    this.endAttempt();
    this.hedging.end();
    const {spec, fleet, now, onEnd} = this.ctx;
    fleet.endWait(spec.req.requestId);
    onEnd({
      ...this.response.outcome(spec.req.arrivedAt),
      serverId: this.state.agentId,
      attempts: this.attempts.count(),
      helpers: (this.placement?.helpers ?? []).map(({serverId}) => serverId),
      predictedMs: this.placement?.firstEventMs ?? 0,
      eventCount: this.state.nextIndex,
      totalMs: now() - spec.req.arrivedAt,
    });
  }

  private readonly executors: CallExecutors = {
    route: command => this.route(command),
    open: command => this.open(command),
    // There is no agent to ask about a silent attempt, so it gets a hedge.
    attach: () => this.hedging.request(),
    cancel: () => this.endAttempt(),
    emit: ({texts}) => {
      if (!this.response.writeEvents(texts)) this.attempt?.pause();
    },
    complete: () => this.response.complete(),
    fail: ({failure}) => this.response.fail(failure),
    'record-crash': () => undefined,
  };

  private execute(command: CallCommand): void {
    const executor = this.executors[command.type] as (
      command: CallCommand,
    ) => void;
    executor(command);
  }
}
