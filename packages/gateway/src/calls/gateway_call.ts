import {callMachine, createFailure} from '@figfall/decisions';
import type {
  CallCommand,
  CallEvent,
  CallExecutors,
  CallOptions,
  CallState,
} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {Placement} from '../core/placement.js';
import type {ResponseHead} from '../ports/response_head.js';
import type {BackendEvent} from '../ports/backend_event.js';
import {BackendAttempt} from './backend_attempt.js';
import {CallAnswer} from './call_answer.js';
import {callOptionsOf} from './call_options_of.js';
import type {GatewayCallOptions} from './gateway_call_options.js';
import {silenceMs} from './silence_ms.js';

type EventHandlers = {
  readonly [Type in BackendEvent['type']]: (
    event: Extract<BackendEvent, {readonly type: Type}>,
    attemptId: string,
  ) => void;
};

/** One attempt of a caller at the gateway. */
export class GatewayCall {
  private readonly answer: CallAnswer;
  private options: CallOptions;
  private state: CallState;
  private attempts = 0;
  private placement?: Placement;
  private attempt?: BackendAttempt;
  private isWaiting = false;
  private isClosed = false;

  constructor(private readonly parts: GatewayCallOptions) {
    const {spec, sink, now} = parts;
    this.answer = new CallAnswer(sink, spec.req.lastEventId, now);
    this.options = callOptionsOf(spec);
    const started = callMachine.start(this.options, now());
    this.state = started.state;
    started.commands.forEach(command => this.execute(command));
    this.closeIfEnded();
  }

  step(event: CallEvent): void {
    const {state, options} = this;
    const next = callMachine.step(state, event, options, this.parts.now());
    this.state = next.state;
    next.commands.forEach(command => this.execute(command));
    this.closeIfEnded();
  }

  /** The caller reads on after `events` returned false. */
  drained(): void {
    this.attempt?.resume();
  }

  private route(command: Extract<CallCommand, {readonly type: 'route'}>): void {
    this.endAttempt();
    const {lastFailure} = this.state;
    if (this.attempts >= GATEWAY.OFFERS_MAX && lastFailure) {
      return this.step({type: 'not-routed', failure: lastFailure});
    }
    const {spec, fleet, spendRetry, trace} = this.parts;
    const placed = fleet.place(spec, command.exclude);
    if (placed.isErr()) {
      if (!this.isWaiting && placed.error.kind === 'not-ready') {
        trace.waits(spec);
      }
      this.isWaiting = true;
      return this.step({type: 'not-routed', failure: placed.error});
    }
    if (this.attempts > 0 && !spendRetry(spec.service.name)) {
      const message = 'Too many requests are being retried.';
      const failure = lastFailure ?? createFailure('retry-budget', message);
      return this.step({type: 'not-routed', failure});
    }
    this.routed(placed.value);
  }

  private routed(placement: Placement): void {
    const {spec, trace} = this.parts;
    this.placement = placement;
    this.attempts += 1;
    this.options = {
      ...this.options,
      progressTimeoutMs: silenceMs(spec, placement.firstEventMs),
    };
    trace.placed(spec, placement, this.attempts);
    this.step({
      type: 'routed',
      agentId: placement.serverId,
      agentIncarnation: '',
      attemptId: `${spec.req.requestId}.${this.attempts}`,
    });
  }

  private open(command: Extract<CallCommand, {readonly type: 'open'}>): void {
    const {placement} = this;
    const {spec, fleet, client, now} = this.parts;
    const {attemptId} = command;
    const server = placement && fleet.find(placement.serverId);
    if (!placement || !server) {
      return this.refuse(attemptId, 'The backend server has left.');
    }
    this.attempt = new BackendAttempt({
      spec,
      attemptId,
      placement,
      server,
      lastEventId: this.answer.lastEventId(this.state.nextIndex),
      fleet,
      client,
      now,
      onEvent: event => this.receive(event, attemptId),
      onNoMemory: () =>
        this.refuse(attemptId, 'KV cache for the prompt was not granted.'),
    });
  }

  private refuse(attemptId: string, message: string): void {
    const failure = createFailure('memory-full', message);
    this.step({type: 'refused', attemptId, failure});
  }

  private receive(event: BackendEvent, attemptId: string): void {
    if (attemptId !== this.state.attemptId) return;
    const handler = this.handlers[event.type] as (
      event: BackendEvent,
      attemptId: string,
    ) => void;
    handler(event, attemptId);
  }

  private readonly handlers: EventHandlers = {
    sent: (_event, attemptId) => this.step({type: 'accepted', attemptId}),
    refused: ({failure, unreachable, faultyAddress}, attemptId) => {
      if (unreachable) this.record('unreachable');
      if (faultyAddress) this.parts.fleet.recordUnreachable(faultyAddress);
      this.note('refused', failure.message);
      this.step({type: 'refused', attemptId, failure});
    },
    head: ({head}) => this.answer.head(head),
    events: ({firstId, texts}, attemptId) => {
      if (this.attempt?.prefilled()) this.record('answered');
      const index = this.answer.indexOf(firstId);
      this.step({type: 'tokens', attemptId, index, texts});
    },
    end: (_event, attemptId) => this.done(attemptId),
    response: ({head, body}, attemptId) => this.onAnswer(head, body, attemptId),
    failed: ({reason}, attemptId) => {
      this.record('failed');
      this.failed('backend-lost', reason, attemptId);
    },
  };

  private onAnswer(head: ResponseHead, body: Buffer, attemptId: string): void {
    const {status} = head;
    const isFailure = status >= 500;
    this.record(isFailure ? 'failed' : 'answered');
    if (!this.answer.keep(head, body)) {
      const reason = `The backend server answered ${status} instead of going on with the stream.`;
      return this.failed('backend-error', reason, attemptId);
    }
    const mayRepeat = isFailure && status !== GATEWAY.TIMED_OUT_STATUS;
    if (!mayRepeat || !this.parts.spec.idempotent) return this.done(attemptId);
    const reason = `The backend server answered ${status}.`;
    this.failed('backend-error', reason, attemptId);
  }

  private done(attemptId: string): void {
    this.step({type: 'done', attemptId, count: this.state.nextIndex});
  }

  private failed(
    kind: 'backend-lost' | 'backend-error',
    reason: string,
    attemptId: string,
  ): void {
    this.note('failed', reason);
    const failure = createFailure(kind, reason);
    this.step({type: 'failed', attemptId, failure, crashed: false});
  }

  /** True while known work of the server explains its silence. */
  private isExplained(): boolean {
    const {agentId, lastReceivedAt} = this.state;
    const {knownBacklogMs} = this.parts.fleet.loadOf(agentId ?? '');
    const allowedMs = this.options.progressTimeoutMs + knownBacklogMs;
    return this.parts.now() - lastReceivedAt < allowedMs;
  }

  private record(outcome: 'answered' | 'failed' | 'unreachable'): void {
    const {agentId} = this.state;
    if (agentId) this.parts.fleet.record(agentId, outcome);
  }

  private note(result: string, reason: string): void {
    const {agentId = ''} = this.state;
    this.parts.trace.attemptEnded(this.parts.spec, agentId, result, reason);
  }

  private endAttempt(): void {
    this.attempt?.end();
    this.attempt = undefined;
  }

  private closeIfEnded(): void {
    if (this.state.phase !== 'ended' || this.isClosed) return;
    this.isClosed = true;
    this.endAttempt();
    const {spec, fleet, now, onEnd} = this.parts;
    fleet.endWait(spec.req.requestId);
    onEnd({
      ...this.answer.outcome(spec.req.arrivedAt),
      serverId: this.state.agentId,
      attempts: this.attempts,
      helpers: (this.placement?.helpers ?? []).map(({serverId}) => serverId),
      predictedMs: this.placement?.firstEventMs ?? 0,
      totalMs: now() - spec.req.arrivedAt,
    });
  }

  private readonly executors: CallExecutors = {
    route: command => this.route(command),
    open: command => this.open(command),
    attach: ({attemptId}) => {
      if (this.state.attempts >= this.options.maxAttempts) return;
      if (this.isExplained()) return;
      const reason = 'Nothing was heard from the backend server for too long.';
      this.receive({type: 'failed', reason}, attemptId);
    },
    cancel: () => this.endAttempt(),
    emit: ({texts}) => {
      if (!this.answer.events(texts)) this.attempt?.pause();
    },
    complete: () => this.answer.complete(),
    fail: ({failure}) => this.answer.fail(failure),
    'record-crash': () => undefined,
  };

  private execute(command: CallCommand): void {
    const executor = this.executors[command.type] as (
      command: CallCommand,
    ) => void;
    executor(command);
  }
}
