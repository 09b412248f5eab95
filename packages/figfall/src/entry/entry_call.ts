import {callMachine, createFailure} from '@figfall/decisions';
import type {
  CallCommand,
  CallEvent,
  CallExecutors,
  CallOptions,
  CallState,
} from '@figfall/decisions';
import {LINK} from '@figfall/node-link';
import type {Link, PeerMessage} from '@figfall/node-link';
import type {AgentViews} from './agent_views.js';
import {buildOpenCall} from './build_open_call.js';
import type {CallSink} from './call_sink.js';
import type {CallSpec} from './call_spec.js';
import {ENTRY} from './entry_constants.js';
import type {EntryRouter} from './entry_router.js';

interface EntryCallOptions {
  readonly spec: CallSpec;
  readonly sink: CallSink;
  readonly router: EntryRouter;
  readonly views: AgentViews;
  readonly linkTo: (agentId: string) => Link | undefined;
  readonly configRevision: () => number;
  /** Engine crashes already recorded for this request. */
  readonly crashes: number;
  readonly onCrash: (crashes: number) => void;
  readonly onEnd: () => void;
}

type CallMessage = Extract<
  PeerMessage,
  {
    readonly type:
      | 'accepted'
      | 'refused'
      | 'tokens'
      | 'done'
      | 'failed'
      | 'alive'
      | 'unseen';
  }
>;

/** One request at an entry; only the entry's task calls it. */
export class EntryCall {
  private readonly options: CallOptions;
  private state: CallState;
  private attempt = 0;
  private text: string;
  private askAgent?: string;
  private done?: Extract<CallMessage, {readonly type: 'done'}>;
  /** True while the caller reads slower than tokens come. */
  private isBlocked = false;
  /** Window bytes that are given back once the caller reads on. */
  private heldCost = 0;
  private openAt?: string;
  private isClosed = false;

  constructor(private readonly parts: EntryCallOptions) {
    const {spec} = parts;
    this.text = spec.resumeText;
    this.options = {
      idempotent: spec.idempotent,
      deadlineAt: spec.deadlineAt,
      maxOffers: spec.fixed ? 1 : ENTRY.OFFERS_MAX,
      maxAttempts: spec.fixed ? 1 : ENTRY.ATTEMPTS_MAX,
      progressTimeoutMs: ENTRY.PROGRESS_MS,
      reconnectTimeoutMs: ENTRY.DETACH_MS,
      routeTimeoutMs: ENTRY.ROUTE_MS,
      crashes: parts.crashes,
      resumeIndex: spec.resumeFrom,
    };
    const started = callMachine.start(this.options, Date.now());
    this.state = started.state;
    started.commands.forEach(command => this.execute(command));
    this.closeIfEnded();
  }

  isEnded(): boolean {
    return this.state.phase === 'ended';
  }

  /** Tokens that the caller has, and their text. */
  delivered() {
    return {count: this.state.nextIndex, text: this.text};
  }

  step(event: CallEvent): void {
    const {state, options} = this;
    const next = callMachine.step(state, event, options, Date.now());
    this.state = next.state;
    next.commands.forEach(command => this.execute(command));
    this.closeIfEnded();
  }

  /** Handles a message of an agent about an attempt of this request. */
  receive(message: CallMessage, link: Link, cost: number): void {
    const {callId: attemptId, ...rest} = message;
    const isCurrent = attemptId === this.state.attemptId;
    if (isCurrent) this.note(message);
    this.step(
      rest.type === 'unseen'
        ? {type: 'unseen', attemptId, agentIncarnation: rest.incarnation}
        : {...rest, attemptId},
    );
    if (message.type === 'accepted' && isCurrent) this.sendBody(link);
    if (this.isBlocked) this.heldCost += cost;
    else link.returnCredit(attemptId, cost);
  }

  /** Gives back the window bytes held while the caller read slowly. */
  drained(): void {
    const {agentId, attemptId} = this.state;
    const cost = this.heldCost;
    this.isBlocked = false;
    this.heldCost = 0;
    if (!agentId || !attemptId) return;
    this.parts.linkTo(agentId)?.returnCredit(attemptId, cost);
  }

  private note(message: CallMessage): void {
    if (message.type === 'done') this.done = message;
    if (message.type !== 'refused') return;
    this.askAgent = message.askAgent;
    const {agentId} = this.state;
    if (agentId) this.parts.views.refused(agentId);
  }

  /** Sends a body that was too large for the offer. */
  private sendBody(link: Link): void {
    const {body} = this.parts.spec;
    const callId = this.state.attemptId ?? '';
    if (body.byteLength <= LINK.BODY_CHUNK_BYTES) return;
    const count = Math.ceil(body.byteLength / LINK.BODY_CHUNK_BYTES);
    Array.from({length: count}, (_, i) => i * LINK.BODY_CHUNK_BYTES).forEach(
      start => {
        const bytes = body.subarray(start, start + LINK.BODY_CHUNK_BYTES);
        link.send(callId, {type: 'body', callId, bytes});
      },
    );
  }

  private route(command: Extract<CallCommand, {readonly type: 'route'}>): void {
    const {spec, router, views} = this.parts;
    this.endAttempt();
    if (this.askAgent) return this.routeTo(this.askAgent);
    const routed = router.route(spec, command.exclude, command.isRetry);
    if (routed.isErr()) {
      return this.step({type: 'not-routed', failure: routed.error});
    }
    const {agentId, incarnation} = routed.value.report;
    views.sent(agentId, spec.promptTokens);
    this.routed(agentId, incarnation);
  }

  /** Routes to the one agent that can tell the outcome of a claim. */
  private routeTo(agentId: string): void {
    const {views, linkTo} = this.parts;
    this.askAgent = undefined;
    const view = views.find(agentId);
    if (view && linkTo(agentId)) {
      return this.routed(agentId, view.report.incarnation);
    }
    const failure = createFailure(
      'outcome-unknown',
      `Agent ${agentId}, which may have run this request, can't be reached. It will not be run again; ask later with the same key.`,
    );
    this.step({type: 'not-routed', failure});
  }

  private routed(agentId: string, agentIncarnation: string): void {
    this.attempt += 1;
    const attemptId = `${this.parts.spec.requestId}.${this.attempt}`;
    this.openAt = agentId;
    this.step({type: 'routed', agentId, agentIncarnation, attemptId});
  }

  private endAttempt(): void {
    if (!this.openAt) return;
    const {attemptId} = this.state;
    this.parts.views.ended(this.openAt);
    if (attemptId) this.parts.linkTo(this.openAt)?.endStream(attemptId);
    this.openAt = undefined;
  }

  private closeIfEnded(): void {
    if (this.state.phase !== 'ended' || this.isClosed) return;
    this.isClosed = true;
    this.endAttempt();
    this.parts.onEnd();
  }

  private readonly executors: CallExecutors = {
    route: command => this.route(command),
    open: command => {
      const link = this.parts.linkTo(command.agentId);
      const revision = this.parts.configRevision();
      const call = buildOpenCall(this.parts.spec, command, {
        revision,
        text: this.text,
      });
      link?.send(command.attemptId, {type: 'open', call});
    },
    attach: ({agentId, attemptId: callId, from}) =>
      this.parts.linkTo(agentId)?.send(callId, {type: 'attach', callId, from}),
    cancel: ({agentId, attemptId: callId}) =>
      this.parts.linkTo(agentId)?.send(callId, {type: 'cancel', callId}),
    emit: ({texts}) => {
      this.text += texts.join('');
      if (!this.parts.sink.tokens(texts)) this.isBlocked = true;
    },
    complete: () =>
      this.parts.sink.complete({
        response: this.done?.response,
        carry: this.done?.carry,
      }),
    fail: ({failure}) => this.parts.sink.fail(failure),
    'record-crash': ({crashes}) => this.parts.onCrash(crashes),
  };

  private execute(command: CallCommand): void {
    const executor = this.executors[command.type] as (
      command: CallCommand,
    ) => void;
    executor(command);
  }
}
