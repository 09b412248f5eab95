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

type AgentMessage = Extract<
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

/** Runs one request at an entry; used by the entry's task only. */
export class EntryCall {
  private readonly machineOptions: CallOptions;
  private state: CallState;
  private attemptCount = 0;
  /** Output text that the caller has. */
  private text: string;
  /** Agent that an agent's refusal named as the one that knows the outcome. */
  private outcomeAgentId?: string;
  private doneMessage?: Extract<AgentMessage, {readonly type: 'done'}>;
  /** True while the caller reads slower than tokens arrive. */
  private isBackpressured = false;
  /** Flow-control credit in bytes, withheld until the caller reads on. */
  private withheldCredit = 0;
  /** Agent of the open attempt. */
  private openAgentId?: string;
  private isClosed = false;

  constructor(private readonly options: EntryCallOptions) {
    const {spec} = options;
    this.text = spec.resumeText;
    this.machineOptions = {
      idempotent: spec.idempotent,
      deadlineAt: spec.deadlineAt,
      maxOffers: spec.pinned ? 1 : ENTRY.OFFERS_MAX,
      maxAttempts: spec.pinned ? 1 : ENTRY.ATTEMPTS_MAX,
      progressTimeoutMs: ENTRY.PROGRESS_TIMEOUT_MS,
      reconnectTimeoutMs: ENTRY.RECONNECT_TIMEOUT_MS,
      routeTimeoutMs: ENTRY.ROUTE_TIMEOUT_MS,
      resumeTimeoutMs: spec.pinned ? 0 : ENTRY.ROUTE_TIMEOUT_MS,
      crashes: options.crashes,
      resumeIndex: spec.resumeIndex,
    };
    const started = callMachine.start(this.machineOptions, Date.now());
    this.state = started.state;
    started.commands.forEach(command => this.execute(command));
    this.closeIfEnded();
  }

  isEnded(): boolean {
    return this.state.phase === 'ended';
  }

  /** Returns the number of tokens that the caller has, and their text. */
  delivered() {
    return {count: this.state.nextIndex, text: this.text};
  }

  /** Feeds an event to the call machine and executes its commands. */
  step(event: CallEvent): void {
    const {state, machineOptions} = this;
    const next = callMachine.step(state, event, machineOptions, Date.now());
    this.state = next.state;
    next.commands.forEach(command => this.execute(command));
    this.closeIfEnded();
  }

  /**
   * Handles an agent's message about an attempt of this request. `windowBytes`
   * is the part of the flow-control window that the message takes.
   */
  handleMessage(message: AgentMessage, link: Link, windowBytes: number): void {
    const {callId: attemptId, ...rest} = message;
    const isCurrent = attemptId === this.state.attemptId;
    if (isCurrent) this.recordMessage(message);
    this.step(
      rest.type === 'unseen'
        ? {type: 'unseen', attemptId, agentIncarnation: rest.incarnation}
        : {...rest, attemptId},
    );
    if (message.type === 'accepted' && isCurrent) this.sendBody(link);
    if (this.isBackpressured) this.withheldCredit += windowBytes;
    else link.returnCredit(attemptId, windowBytes);
  }

  /** Returns the withheld credit, because the caller reads on. */
  handleDrain(): void {
    const {agentId, attemptId} = this.state;
    const credit = this.withheldCredit;
    this.isBackpressured = false;
    this.withheldCredit = 0;
    if (!agentId || !attemptId) return;
    this.options.linkTo(agentId)?.returnCredit(attemptId, credit);
  }

  private recordMessage(message: AgentMessage): void {
    if (message.type === 'done') this.doneMessage = message;
    if (message.type !== 'refused') return;
    this.outcomeAgentId = message.askAgent;
    const {agentId} = this.state;
    if (agentId) this.options.views.recordRefusal(agentId);
  }

  /** Sends a body in chunks if it was too large for the `open` message. */
  private sendBody(link: Link): void {
    const {body} = this.options.spec;
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
    const {spec, router, views} = this.options;
    this.endAttempt();
    if (this.outcomeAgentId) return this.routeToOutcome(this.outcomeAgentId);
    const routed = router.route(spec, command.exclude, command.isRetry);
    if (routed.isErr()) {
      return this.step({type: 'not-routed', failure: routed.error});
    }
    const {agentId, incarnation} = routed.value.report;
    views.recordSent(agentId, spec.promptTokens);
    this.startAttempt(agentId, incarnation);
  }

  /** Routes to the only agent that can return the outcome of a claim. */
  private routeToOutcome(agentId: string): void {
    const {views, linkTo} = this.options;
    this.outcomeAgentId = undefined;
    const view = views.find(agentId);
    if (view && linkTo(agentId)) {
      return this.startAttempt(agentId, view.report.incarnation);
    }
    const failure = createFailure(
      'outcome-unknown',
      `Agent ${agentId}, which may have run this request, can't be reached. The request will not run again; send it later with the same key to get its outcome.`,
    );
    this.step({type: 'not-routed', failure});
  }

  private startAttempt(agentId: string, agentIncarnation: string): void {
    this.attemptCount += 1;
    const attemptId = `${this.options.spec.requestId}.${this.attemptCount}`;
    this.openAgentId = agentId;
    this.step({type: 'routed', agentId, agentIncarnation, attemptId});
  }

  private endAttempt(): void {
    if (!this.openAgentId) return;
    const {attemptId} = this.state;
    this.options.views.recordEnded(this.openAgentId);
    if (attemptId) this.options.linkTo(this.openAgentId)?.endStream(attemptId);
    this.openAgentId = undefined;
  }

  private closeIfEnded(): void {
    if (this.state.phase !== 'ended' || this.isClosed) return;
    this.isClosed = true;
    this.endAttempt();
    this.options.onEnd();
  }

  private readonly executors: CallExecutors = {
    route: command => this.route(command),
    open: command => {
      const link = this.options.linkTo(command.agentId);
      const configRevision = this.options.configRevision();
      const call = buildOpenCall(this.options.spec, command, {
        configRevision,
        text: this.text,
      });
      link?.send(command.attemptId, {type: 'open', call});
    },
    attach: ({agentId, attemptId: callId, from}) =>
      this.options
        .linkTo(agentId)
        ?.send(callId, {type: 'attach', callId, from}),
    cancel: ({agentId, attemptId: callId}) =>
      this.options.linkTo(agentId)?.send(callId, {type: 'cancel', callId}),
    emit: ({texts}) => {
      this.text += texts.join('');
      if (!this.options.sink.writeTokens(texts)) this.isBackpressured = true;
    },
    complete: () =>
      this.options.sink.complete({
        response: this.doneMessage?.response,
        kvCacheHandle: this.doneMessage?.carry,
      }),
    fail: ({failure}) => this.options.sink.fail(failure),
    'record-crash': ({crashes}) => this.options.onCrash(crashes),
  };

  private execute(command: CallCommand): void {
    const executor = this.executors[command.type] as (
      command: CallCommand,
    ) => void;
    executor(command);
  }
}
