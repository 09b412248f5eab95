import {
  splitPrompt,
  ERROR_DEFINITIONS,
  groupMachine,
  planGroup,
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
  readonly outputTokens: number;
  readonly zone: string;
  readonly sink: CallSink;
  readonly router: EntryRouter;
  readonly linkTo: (agentId: string) => Link | undefined;
  /** Starts a call that one agent alone may run. */
  readonly startCall: (spec: CallSpec, sink: CallSink) => EntryCall;
  readonly onEnd: () => void;
}

type Executors = {
  readonly [Type in GroupCommand['type']]: (
    command: Extract<GroupCommand, {readonly type: Type}>,
  ) => void;
};

/** A prompt that several engines hold; only the entry's task calls it. */
export class GroupCall {
  private state?: GroupState;
  private round = 0;
  private call?: EntryCall;
  private delivered = {count: 0, text: ''};
  private isClosed = false;

  constructor(private readonly parts: GroupCallOptions) {
    this.plan();
  }

  isEnded(): boolean {
    return this.isClosed;
  }

  step(event: GroupEvent): void {
    if (!this.state) return;
    const {deadlineAt} = this.parts.spec;
    const options = {deadlineAt, renewIntervalMs: ENTRY.RENEW_MS};
    const next = groupMachine.step(this.state, event, options, Date.now());
    this.state = next.state;
    next.commands.forEach(command => this.execute(command));
  }

  /** Releases all reservations after the caller has gone. */
  callerGone(): void {
    this.call?.step({type: 'caller-disconnected'});
    this.step({type: 'caller-disconnected'});
    this.close();
  }

  drained(): void {
    this.call?.drained();
  }

  /** True where a reservation is of the round under way. */
  owns(reservationId: string): boolean {
    return reservationId === this.reservationId();
  }

  private reservationId(): string {
    return `${this.parts.spec.requestId}.g${this.round}`;
  }

  private plan(): void {
    const {spec, router, prompt, outputTokens, zone} = this.parts;
    this.round += 1;
    const planned = planGroup(router.serving(spec), {
      promptTokens: spec.promptTokens,
      outputTokens,
      zone,
    });
    if (planned.isErr()) return this.finish(planned.error);
    const cuts = splitPrompt(
      prompt.length,
      planned.value.map(({promptTokens}) => promptTokens),
      ENTRY.KV_BLOCK_CHARS,
    );
    const members = planned.value.map(({agentId, reservedTokens}, i) => ({
      agentId,
      reservedTokens,
      ...cuts[i],
    }));
    const started = groupMachine.start(members, Date.now());
    this.state = started.state;
    started.commands.forEach(command => this.execute(command));
  }

  private finish(failure?: Failure): void {
    if (this.isClosed) return;
    if (failure) this.parts.sink.fail(failure);
    this.close();
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.parts.onEnd();
  }

  /** Plans again after a loss, or gives up. */
  private onFailure(failure: Failure): void {
    const {spec} = this.parts;
    const mayMove = ERROR_DEFINITIONS[failure.kind].retryElsewhere;
    const isLate = Date.now() >= spec.deadlineAt;
    if (!mayMove || isLate || this.round >= ENTRY.GROUP_ROUNDS) {
      return this.finish(failure);
    }
    this.plan();
  }

  private partSpec(
    command: Extract<GroupCommand, {readonly from: number}>,
    kind: CallSpec['kind'],
    body: Uint8Array,
  ): CallSpec {
    const {spec, prompt} = this.parts;
    const {agentId, carry, from, to} = command;
    const share = (to - from) / Math.max(1, prompt.length);
    const promptTokens = Math.ceil(spec.promptTokens * share);
    return {
      ...spec,
      requestId: `${spec.requestId}.g${this.round}p${from}`,
      kind,
      callClass: 'long',
      promptTokens,
      totalTokens: promptTokens,
      body,
      fixed: {agentId, reservationId: this.reservationId(), carry},
      resumeFrom: kind === 'segment' ? 0 : this.delivered.count,
      resumeText: kind === 'segment' ? '' : this.delivered.text,
    };
  }

  private prefill(
    command: Extract<GroupCommand, {readonly type: 'prefill'}>,
  ): void {
    const text = this.parts.prompt.slice(command.from, command.to);
    const spec = this.partSpec(command, 'segment', Buffer.from(text));
    this.call = this.parts.startCall(spec, {
      tokens: () => true,
      complete: ({carry}) =>
        this.step({type: 'segment-done', carry: carry ?? ''}),
      fail: failure => this.step({type: 'segment-failed', failure}),
    });
  }

  private generate(
    command: Extract<GroupCommand, {readonly type: 'generate'}>,
  ): void {
    const {prompt, outputTokens, spec, sink} = this.parts;
    const body = JSON.stringify({
      model: spec.target,
      prompt: prompt.slice(command.from, command.to),
      max_tokens: outputTokens,
    });
    const partSpec = this.partSpec(command, 'completion', Buffer.from(body));
    this.call = this.parts.startCall(partSpec, {
      tokens: texts => {
        const count = this.delivered.count + texts.length;
        const text = this.delivered.text + texts.join('');
        this.delivered = {count, text};
        return sink.tokens(texts);
      },
      complete: result => {
        this.step({type: 'generation-ended'});
        sink.complete(result);
        this.close();
      },
      fail: failure => {
        this.step({type: 'generation-ended'});
        this.onFailure(failure);
      },
    });
  }

  private send(agentId: string, message: Parameters<Link['send']>[1]): void {
    this.parts.linkTo(agentId)?.send(this.reservationId(), message);
  }

  private readonly executors: Executors = {
    reserve: ({agentId, tokens}) =>
      this.send(agentId, {
        type: 'reserve',
        reservationId: this.reservationId(),
        tokens,
        ttlMs: ENTRY.RESERVATION_MS,
      }),
    release: ({agentId}) =>
      this.send(agentId, {
        type: 'release',
        reservationId: this.reservationId(),
      }),
    prefill: command => this.prefill(command),
    generate: command => this.generate(command),
    fail: ({failure}) => this.onFailure(failure),
  };

  private execute(command: GroupCommand): void {
    const executor = this.executors[command.type] as (
      command: GroupCommand,
    ) => void;
    executor(command);
  }
}
