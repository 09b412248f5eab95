import type {CompletionRequest} from '@figfall/caller';
import type {GroupEvent} from '@figfall/decisions';
import type {Link, PeerMessage} from '@figfall/node-link';
import type {CallSink} from './call_sink.js';
import type {CallSpec} from './call_spec.js';
import type {EntryCall} from './entry_call.js';
import type {EntryRouter} from './entry_router.js';
import {GroupCall} from './group_call.js';

interface GroupCallTableOptions {
  readonly router: EntryRouter;
  readonly zone: string;
  readonly linkTo: (agentId: string) => Link | undefined;
  /** Starts a call that is pinned to one agent. */
  readonly startCall: (spec: CallSpec, sink: CallSink) => EntryCall;
}

type ReservationMessage = Extract<
  PeerMessage,
  {readonly type: 'reserved' | 'not-reserved'}
>;

/** An entry's prompts that are split over several engines, by request id. */
export class GroupCallTable {
  private readonly groups = new Map<string, GroupCall>();

  constructor(private readonly options: GroupCallTableOptions) {}

  /** True while a split prompt is running. */
  isBusy(): boolean {
    return this.groups.size > 0;
  }

  /** True if no single engine in service can hold the request's tokens. */
  needsGroup(spec: CallSpec): boolean {
    const capacities = this.options.router
      .eligibleAgents(spec)
      .map(({report}) => report.totalTokens);
    return capacities.length > 0 && spec.totalTokens > Math.max(...capacities);
  }

  /** Plans and starts a split prompt; `onEnd` may run before it returns. */
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

  /** Passes an agent's reply to a reservation on to its group. */
  handleMessage(message: ReservationMessage, agentId: string): void {
    const requestId = message.reservationId.replace(/\.g\d+$/, '');
    const group = this.groups.get(requestId);
    if (!group?.hasReservation(message.reservationId)) return;
    group.step(
      message.type === 'reserved'
        ? {type: 'reserved', agentId}
        : {type: 'not-reserved', agentId, failure: message.failure},
    );
  }

  /** Passes an event to all groups. */
  step(event: GroupEvent): void {
    [...this.groups.values()].forEach(group => group.step(event));
  }

  handleDisconnect(requestId: string): void {
    this.groups.get(requestId)?.handleDisconnect();
  }

  handleDrain(requestId: string): void {
    this.groups.get(requestId)?.handleDrain();
  }
}
