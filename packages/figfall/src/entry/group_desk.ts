import type {CompletionRequest} from '@figfall/caller';
import type {GroupEvent} from '@figfall/decisions';
import type {Link, PeerMessage} from '@figfall/node-link';
import type {CallSink} from './call_sink.js';
import type {CallSpec} from './call_spec.js';
import type {EntryCall} from './entry_call.js';
import type {EntryRouter} from './entry_router.js';
import {GroupCall} from './group_call.js';

interface GroupDeskOptions {
  readonly router: EntryRouter;
  readonly zone: string;
  readonly linkTo: (agentId: string) => Link | undefined;
  /** Starts a call that one agent alone may run. */
  readonly startCall: (spec: CallSpec, sink: CallSink) => EntryCall;
}

type ReservationMessage = Extract<
  PeerMessage,
  {readonly type: 'reserved' | 'not-reserved'}
>;

/** The prompts of an entry that several engines hold. */
export class GroupDesk {
  private readonly groups = new Map<string, GroupCall>();

  constructor(private readonly options: GroupDeskOptions) {}

  isBusy(): boolean {
    return this.groups.size > 0;
  }

  /** True where no single engine in service can hold the prompt. */
  isNeeded(spec: CallSpec): boolean {
    const sizes = this.options.router
      .serving(spec)
      .map(({report}) => report.totalTokens);
    return sizes.length > 0 && spec.totalTokens > Math.max(...sizes);
  }

  start(
    spec: CallSpec,
    req: CompletionRequest,
    sink: CallSink,
    onEnd: () => void,
  ): void {
    const {requestId} = spec;
    const group = new GroupCall({
      ...this.options,
      spec,
      sink,
      prompt: req.prompt,
      outputTokens: req.maxTokens,
      onEnd: () => {
        this.groups.delete(requestId);
        onEnd();
      },
    });
    if (!group.isEnded()) this.groups.set(requestId, group);
  }

  /** Passes an agent's answer to the prompt that reserved there. */
  receive(message: ReservationMessage, agentId: string): void {
    const requestId = message.reservationId.replace(/\.g\d+$/, '');
    const group = this.groups.get(requestId);
    if (!group?.owns(message.reservationId)) return;
    group.step(
      message.type === 'reserved'
        ? {type: 'reserved', agentId}
        : {type: 'not-reserved', agentId, failure: message.failure},
    );
  }

  /** Passes an event to all prompts. */
  step(event: GroupEvent): void {
    [...this.groups.values()].forEach(group => group.step(event));
  }

  callerGone(requestId: string): void {
    this.groups.get(requestId)?.callerGone();
  }

  drained(requestId: string): void {
    this.groups.get(requestId)?.drained();
  }
}
