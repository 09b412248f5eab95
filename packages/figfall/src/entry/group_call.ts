import {
  ERROR_DEFINITIONS,
  groupMachine,
  planGroup,
  splitPrompt,
} from '@figfall/decisions';
import type {
  Failure,
  GroupCommand,
  GroupEvent,
  GroupState,
} from '@figfall/decisions';
import type {Link} from '@figfall/node-link';
import type {CallSink} from './call_sink.js';
import type {CallSpec} from './call_spec.js';
import {ENTRY} from './entry_constants.js';
import type {EntryCall} from './entry_call.js';
import type {EntryRouter} from './entry_router.js';

interface GroupCallOptions {
  readonly spec: CallSpec;
  readonly prompt: string;
  /** Largest number of tokens to generate. */
  readonly outputTokens: number;
  /** Availability zone of the entry. */
  readonly zone: string;
  readonly sink: CallSink;
  readonly router: EntryRouter;
  readonly linkTo: (agentId: string) => Link | undefined;
  /** Starts a call that is pinned to one agent. */
  readonly startCall: (spec: CallSpec, sink: CallSink) => EntryCall;
  readonly onEnd: () => void;
}

type Executors = {
  readonly [Type in GroupCommand['type']]: (
    command: Extract<GroupCommand, {readonly type: Type}>,
  ) => void;
};

/**
 * Runs one prompt that is split over several engines: each prefills its part,
 * and the last one generates. Used by the entry's task only.
 */
export class GroupCall {
  private state?: GroupState;
  private planCount = 0;
  private currentCall?: EntryCall;
  /** Output that the caller has, as tokens and text. */
  private delivered = {count: 0, text: ''};
  private isClosed = false;

  constructor(private readonly options: GroupCallOptions) {
    this.plan();
  }

  isEnded(): boolean {
    return this.isClosed;
  }

  /** Feeds an event to the group machine and executes its commands. */
  step(event: GroupEvent): void {
    if (!this.state) return;
    const {deadlineAt} = this.options.spec;
    const options = {deadlineAt, renewIntervalMs: ENTRY.RENEW_INTERVAL_MS};
    const next = groupMachine.step(this.state, event, options, Date.now());
    this.state = next.state;
    next.commands.forEach(command => this.execute(command));
  }

  /** Cancels the current call and releases all reservations. */
  handleDisconnect(): void {
    this.currentCall?.step({type: 'caller-disconnected'});
    this.step({type: 'caller-disconnected'});
    this.close();
  }

  handleDrain(): void {
    this.currentCall?.handleDrain();
  }

  /** True if a reservation belongs to the current plan. */
  hasReservation(reservationId: string): boolean {
    return reservationId === this.reservationId();
  }

  private reservationId(): string {
    return `${this.options.spec.requestId}.g${this.planCount}`;
  }

  private plan(): void {
    const {spec, router, prompt, outputTokens, zone} = this.options;
    this.planCount += 1;
    const planned = planGroup(router.eligibleAgents(spec), {
      promptTokens: spec.promptTokens,
      outputTokens,
      zone,
    });
    if (planned.isErr()) return this.finish(planned.error);
    const ranges = splitPrompt(
      prompt.length,
      planned.value.map(({promptTokens}) => promptTokens),
      ENTRY.KV_BLOCK_CHARS,
    );
    const parts = planned.value.map(({agentId, reservedTokens}, i) => ({
      agentId,
      reservedTokens,
      ...ranges[i],
    }));
    const started = groupMachine.start(parts, Date.now());
    this.state = started.state;
    started.commands.forEach(command => this.execute(command));
  }

  private finish(failure?: Failure): void {
    if (this.isClosed) return;
    if (failure) this.options.sink.fail(failure);
    this.close();
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.onEnd();
  }

  /** Plans again if the failure allows a retry, or fails the request. */
  private handleFailure(failure: Failure): void {
    const {spec} = this.options;
    const canRetry = ERROR_DEFINITIONS[failure.kind].retryElsewhere;
    const isExpired = Date.now() >= spec.deadlineAt;
    if (!canRetry || isExpired || this.planCount >= ENTRY.GROUP_PLANS_MAX) {
      return this.finish(failure);
    }
    this.plan();
  }

  /** Builds the spec of the call for one part, pinned to its engine. */
  private partSpec(
    command: Extract<GroupCommand, {readonly from: number}>,
    kind: CallSpec['kind'],
    body: Uint8Array,
  ): CallSpec {
    const {spec, prompt} = this.options;
    const {agentId, kvCacheHandle, from, to} = command;
    const share = (to - from) / Math.max(1, prompt.length);
    const promptTokens = Math.ceil(spec.promptTokens * share);
    return {
      ...spec,
      requestId: `${spec.requestId}.g${this.planCount}p${from}`,
      kind,
      callClass: 'long',
      promptTokens,
      totalTokens: promptTokens,
      body,
      pinned: {agentId, reservationId: this.reservationId(), kvCacheHandle},
      resumeIndex: kind === 'segment' ? 0 : this.delivered.count,
      resumeText: kind === 'segment' ? '' : this.delivered.text,
    };
  }

  private prefill(
    command: Extract<GroupCommand, {readonly type: 'prefill'}>,
  ): void {
    const text = this.options.prompt.slice(command.from, command.to);
    const spec = this.partSpec(command, 'segment', Buffer.from(text));
    this.currentCall = this.options.startCall(spec, {
      writeTokens: () => true,
      complete: ({kvCacheHandle}) =>
        this.step({type: 'segment-done', kvCacheHandle: kvCacheHandle ?? ''}),
      fail: failure => this.step({type: 'segment-failed', failure}),
    });
  }

  private generate(
    command: Extract<GroupCommand, {readonly type: 'generate'}>,
  ): void {
    const {prompt, outputTokens, spec, sink} = this.options;
    const body = JSON.stringify({
      model: spec.target,
      prompt: prompt.slice(command.from, command.to),
      max_tokens: outputTokens,
    });
    const partSpec = this.partSpec(command, 'completion', Buffer.from(body));
    this.currentCall = this.options.startCall(partSpec, {
      writeTokens: texts => {
        const count = this.delivered.count + texts.length;
        const text = this.delivered.text + texts.join('');
        this.delivered = {count, text};
        return sink.writeTokens(texts);
      },
      complete: result => {
        this.step({type: 'generation-ended'});
        sink.complete(result);
        this.close();
      },
      fail: failure => {
        this.step({type: 'generation-ended'});
        this.handleFailure(failure);
      },
    });
  }

  private send(agentId: string, message: Parameters<Link['send']>[1]): void {
    this.options.linkTo(agentId)?.send(this.reservationId(), message);
  }

  private readonly executors: Executors = {
    reserve: ({agentId, tokens}) =>
      this.send(agentId, {
        type: 'reserve',
        reservationId: this.reservationId(),
        tokens,
        ttlMs: ENTRY.RESERVATION_TTL_MS,
      }),
    release: ({agentId}) =>
      this.send(agentId, {
        type: 'release',
        reservationId: this.reservationId(),
      }),
    prefill: command => this.prefill(command),
    generate: command => this.generate(command),
    fail: ({failure}) => this.handleFailure(failure),
  };

  private execute(command: GroupCommand): void {
    const executor = this.executors[command.type] as (
      command: GroupCommand,
    ) => void;
    executor(command);
  }
}
