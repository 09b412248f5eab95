import {callMachine, createFailure, promptWorth} from '@figfall/decisions';
import type {
  BackendServer,
  CallCommand,
  CallEvent,
  CallOptions,
  CallState,
  Failure,
  PromptPlacement,
} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {Fleet} from '../core/fleet.js';
import type {AnswerHead} from '../ports/answer_head.js';
import type {AnswerSink} from '../ports/answer_sink.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {BackendEvent} from '../ports/backend_event.js';
import type {CallOutcome} from './call_outcome.js';
import type {CallSpec} from './call_spec.js';
import {ReservationGroup} from './reservation_group.js';
import {silenceMs} from './silence_ms.js';

interface GatewayCallOptions {
  readonly spec: CallSpec;
  readonly sink: AnswerSink;
  readonly fleet: Fleet;
  readonly client: BackendClient;
  readonly now: () => number;
  /** Takes one retry from the budget; false where there is none. */
  readonly spendRetry: (service: string) => boolean;
  readonly onAttemptEnd: (attempt: AttemptEnd) => void;
  readonly onEnd: (outcome: CallOutcome) => void;
}

/** How one attempt at a backend server ended. */
interface AttemptEnd {
  readonly requestId: string;
  readonly serverId: string;
  readonly result: string;
  readonly reason: string;
}

type Exchange = ReturnType<BackendClient['send']>;

type Executors = {
  readonly [Type in CallCommand['type']]: (
    command: Extract<CallCommand, {readonly type: Type}>,
  ) => void;
};

type EventHandlers = {
  readonly [Type in BackendEvent['type']]: (
    event: Extract<BackendEvent, {readonly type: Type}>,
    attemptId: string,
  ) => void;
};

/** One attempt of a caller at the gateway. */
export class GatewayCall {
  private options: CallOptions;
  private state: CallState;
  private attempt = 0;
  private placement?: PromptPlacement;
  private exchange?: Exchange;
  private reservations?: ReservationGroup;
  /** Work that other entries know of, by its id. */
  private works: readonly string[] = [];
  private hasPrefilled = false;
  private head?: AnswerHead;
  private hasBegun = false;
  private answer?: {readonly head: AnswerHead; readonly body: Buffer};
  /** Event id that index 0 stands for. */
  private firstId?: number;
  private firstEventAt?: number;
  private lastEventAt?: number;
  private longestPauseMs = 0;
  private outcome: CallOutcome['result'] = 'gone';
  private failure?: Failure;
  private isClosed = false;

  constructor(private readonly parts: GatewayCallOptions) {
    const {spec} = parts;
    const {lastEventId} = spec.req;
    this.firstId = lastEventId === undefined ? undefined : lastEventId + 1;
    this.options = {
      idempotent: spec.idempotent,
      deadlineAt: spec.deadlineAt,
      maxOffers: GATEWAY.OFFERS_MAX,
      maxAttempts: Math.max(1, spec.route.maxAttempts),
      progressMs: silenceMs(spec, 0),
      detachMs: 0,
      routeMs: Infinity,
      crashes: 0,
      resumeFrom: 0,
    };
    const started = callMachine.start(this.options, parts.now());
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
    this.exchange?.resume();
  }

  private route(command: Extract<CallCommand, {readonly type: 'route'}>): void {
    const {spec, fleet, spendRetry} = this.parts;
    this.endAttempt();
    if (this.attempt >= GATEWAY.OFFERS_MAX && this.state.lastFailure) {
      const {lastFailure: failure} = this.state;
      return this.step({type: 'not-routed', failure});
    }
    const placed = fleet.place(spec, command.exclude);
    if (placed.isErr()) {
      return this.step({type: 'not-routed', failure: placed.error});
    }
    if (this.attempt > 0 && !spendRetry(spec.service.name)) {
      return this.step({
        type: 'not-routed',
        failure:
          this.state.lastFailure ??
          createFailure('retry-budget', 'Too many requests are being retried.'),
      });
    }
    this.placement = placed.value;
    this.options = {
      ...this.options,
      progressMs: silenceMs(spec, placed.value.firstEventMs),
    };
    this.attempt += 1;
    this.step({
      type: 'routed',
      agentId: placed.value.serverId,
      agentIncarnation: '',
      attemptId: `${spec.req.requestId}.${this.attempt}`,
    });
  }

  private open(command: Extract<CallCommand, {readonly type: 'open'}>): void {
    const {placement} = this;
    const {fleet} = this.parts;
    const server = placement && fleet.find(placement.serverId);
    if (!placement || !server) {
      return this.refuse(command.attemptId, 'The backend server has left.');
    }
    this.startWorks(placement, command.attemptId);
    if (placement.parts.every(({reserveTokens}) => reserveTokens === 0)) {
      return this.send(server, command.attemptId);
    }
    void this.reserveAndSend(server, command.attemptId);
  }

  private async reserveAndSend(
    server: BackendServer,
    attemptId: string,
  ): Promise<void> {
    const {fleet, client} = this.parts;
    const wanted = this.placement?.parts ?? [];
    const group = new ReservationGroup(
      client,
      wanted.flatMap(({serverId, reserveTokens}) => {
        const holder = fleet.find(serverId);
        return holder && reserveTokens > 0
          ? [{server: holder, reservationId: attemptId, tokens: reserveTokens}]
          : [];
      }),
    );
    this.reservations = group;
    const refusedBy = await group.acquire();
    refusedBy.forEach(({id}) => fleet.record(id, 'unreachable'));
    const isCurrent =
      this.state.phase === 'opening' && this.state.attemptId === attemptId;
    if (!isCurrent) return group.release();
    if (refusedBy.length === 0) return this.send(server, attemptId);
    this.refuse(attemptId, 'KV cache for the prompt could not be reserved.');
  }

  private refuse(attemptId: string, message: string): void {
    const failure = createFailure('memory-full', message);
    this.step({type: 'refused', attemptId, failure});
  }

  private startWorks(placement: PromptPlacement, attemptId: string): void {
    const {spec, fleet} = this.parts;
    const {prompt} = spec.req;
    const reserved = placement.parts.reduce(
      (sum, part) => sum + part.reserveTokens,
      0,
    );
    const whole = prompt ? prompt.promptTokens + prompt.outputTokens : 0;
    const shared = {
      prefillMs: placement.prefillMs,
      pauseMs: spec.route.pauseMs,
      worth: promptWorth(prompt?.promptTokens ?? 0),
    };
    const works = [
      {
        ...shared,
        workId: attemptId,
        serverId: placement.serverId,
        memoryTokens: whole - reserved,
        decodes: true,
      },
      ...placement.parts.map(part => ({
        ...shared,
        workId: `${attemptId}@${part.serverId}`,
        serverId: part.serverId,
        memoryTokens: part.reserveTokens,
        decodes: false,
      })),
    ];
    works.forEach(work => fleet.start(work));
    this.works = works.map(({workId}) => workId);
  }

  private send(server: BackendServer, attemptId: string): void {
    const {spec, fleet, client, now} = this.parts;
    const {req} = spec;
    const helpers = (this.placement?.parts ?? []).flatMap(part => {
      const helper = fleet.find(part.serverId);
      if (!helper) return [];
      const reservationId = part.reserveTokens > 0 ? attemptId : undefined;
      return [{server: helper, reservationId}];
    });
    const {nextIndex} = this.state;
    const isLong = (req.prompt?.promptTokens ?? 0) > GATEWAY.LONG_PROMPT_TOKENS;
    this.exchange = client.send(
      {
        requestId: req.requestId,
        server,
        method: req.method,
        target: req.target,
        headers: req.headers,
        body: req.body,
        workspace: spec.workspace,
        deadlineInMs: Math.max(1, Math.floor(spec.deadlineAt - now())),
        lastEventId:
          nextIndex > 0 ? (this.firstId ?? 0) + nextIndex - 1 : req.lastEventId,
        helpers,
        priority: req.prompt
          ? isLong
            ? GATEWAY.LONG_PRIORITY
            : GATEWAY.SHORT_PRIORITY
          : undefined,
        needsFreshConnection: !spec.idempotent,
      },
      event => this.receive(event, attemptId),
    );
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
    head: ({head}) => {
      if (!this.hasBegun) this.head = head;
    },
    events: ({firstId, texts}, attemptId) => {
      this.firstId ??= firstId;
      this.noteEvent();
      this.notePrefilled(attemptId);
      const index = firstId - this.firstId;
      this.step({type: 'tokens', attemptId, index, texts});
    },
    end: (_event, attemptId) =>
      this.step({type: 'done', attemptId, count: this.state.nextIndex}),
    answer: ({head, body}, attemptId) => this.onAnswer(head, body, attemptId),
    failed: ({reason}, attemptId) => {
      this.record('failed');
      this.note('failed', reason);
      const failure = createFailure('backend-lost', reason);
      this.step({type: 'failed', attemptId, failure, crashed: false});
    },
  };

  private onAnswer(head: AnswerHead, body: Buffer, attemptId: string): void {
    const isFailure = head.status >= 500;
    this.record(isFailure ? 'failed' : 'answered');
    if (this.hasBegun) return this.onAnswerMidway(head.status, attemptId);
    this.answer = {head, body};
    const mayRepeat = isFailure && head.status !== GATEWAY.TIMED_OUT_STATUS;
    if (!mayRepeat || !this.parts.spec.idempotent) {
      return this.step({type: 'done', attemptId, count: this.state.nextIndex});
    }
    const reason = `The backend server answered ${head.status}.`;
    this.note('answered', reason);
    const failure = createFailure('backend-error', reason);
    this.step({type: 'failed', attemptId, failure, crashed: false});
  }

  /** True while known work of the server explains its silence. */
  private isExplained(): boolean {
    const {agentId, heardAt} = this.state;
    const {knownBacklogMs} = this.parts.fleet.loadOf(agentId ?? '');
    const silentMs = this.parts.now() - heardAt;
    return silentMs < this.options.progressMs + knownBacklogMs;
  }

  /** A stream can't go on with an answer that is no stream. */
  private onAnswerMidway(status: number, attemptId: string): void {
    const reason = `The backend server answered ${status} instead of going on with the stream.`;
    this.note('failed', reason);
    const failure = createFailure('backend-error', reason);
    this.step({type: 'failed', attemptId, failure, crashed: false});
  }

  private noteEvent(): void {
    const now = this.parts.now();
    this.firstEventAt ??= now;
    const pauseMs = now - (this.lastEventAt ?? now);
    this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    this.lastEventAt = now;
  }

  private notePrefilled(attemptId: string): void {
    if (this.hasPrefilled) return;
    this.hasPrefilled = true;
    const {fleet} = this.parts;
    this.record('answered');
    fleet.prefilled(attemptId);
    const isReserved = this.reservations !== undefined;
    const kept = this.works.filter(
      workId => workId === attemptId || isReserved,
    );
    this.works
      .filter(workId => !kept.includes(workId))
      .forEach(workId => fleet.end(workId));
    this.works = kept;
  }

  private record(outcome: 'answered' | 'failed' | 'unreachable'): void {
    const {agentId} = this.state;
    if (agentId) this.parts.fleet.record(agentId, outcome);
  }

  private note(result: string, reason: string): void {
    const {requestId} = this.parts.spec.req;
    const serverId = this.state.agentId ?? '';
    this.parts.onAttemptEnd({requestId, serverId, result, reason});
  }

  private endAttempt(): void {
    this.exchange?.cancel();
    this.exchange = undefined;
    this.reservations?.release();
    this.reservations = undefined;
    this.works.forEach(workId => this.parts.fleet.end(workId));
    this.works = [];
    this.hasPrefilled = false;
  }

  private closeIfEnded(): void {
    if (this.state.phase !== 'ended' || this.isClosed) return;
    this.isClosed = true;
    this.endAttempt();
    this.parts.fleet.endWait(this.parts.spec.req.requestId);
    const {now, spec, onEnd} = this.parts;
    onEnd({
      result: this.outcome,
      failure: this.failure,
      status: this.answer?.head.status ?? this.head?.status,
      serverId: this.state.agentId,
      attempts: this.attempt,
      helpers: (this.placement?.parts ?? []).map(({serverId}) => serverId),
      predictedMs: this.placement?.firstEventMs ?? 0,
      firstEventMs:
        this.firstEventAt === undefined
          ? undefined
          : this.firstEventAt - spec.req.arrivedAt,
      longestPauseMs: this.longestPauseMs,
      totalMs: now() - spec.req.arrivedAt,
    });
  }

  private fail(failure: Failure): void {
    const {sink} = this.parts;
    if (this.answer && failure.kind === 'backend-error') {
      this.outcome = 'answered';
      return sink.answer(this.answer.head, this.answer.body);
    }
    this.outcome = 'failed';
    this.failure = failure;
    sink.fail(failure);
  }

  private complete(): void {
    const {sink} = this.parts;
    this.outcome = 'answered';
    if (this.answer) return sink.answer(this.answer.head, this.answer.body);
    this.begin();
    sink.end();
  }

  private begin(): void {
    if (this.hasBegun || !this.head) return;
    this.hasBegun = true;
    this.answer = undefined;
    this.parts.sink.begin(this.head);
  }

  private readonly executors: Executors = {
    route: command => this.route(command),
    open: command => this.open(command),
    attach: ({attemptId}) => {
      if (this.state.attempts >= this.options.maxAttempts) return;
      if (this.isExplained()) return;
      const reason = 'Nothing was heard from the backend server for too long.';
      this.receive({type: 'failed', reason, disconnected: false}, attemptId);
    },
    cancel: () => this.endAttempt(),
    emit: ({texts}) => {
      this.begin();
      if (!this.parts.sink.events(texts)) this.exchange?.pause();
    },
    complete: () => this.complete(),
    fail: ({failure}) => this.fail(failure),
    crashed: () => undefined,
  };

  private execute(command: CallCommand): void {
    const executor = this.executors[command.type] as (
      command: CallCommand,
    ) => void;
    executor(command);
  }
}
