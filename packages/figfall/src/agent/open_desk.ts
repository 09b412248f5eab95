import {createFailure, suspectTable} from '@figfall/decisions';
import type {ScheduledCall, Failure} from '@figfall/decisions';
import type {Link, OpenCall, PeerMessage} from '@figfall/node-link';
import type {ConfigReplica} from '../node/config_replica.js';
import type {AgentCallTable} from './agent_call_table.js';
import {AGENT} from './agent_constants.js';
import type {AgentDoor} from './agent_door.js';

interface OpenDeskOptions {
  readonly calls: AgentCallTable;
  readonly door: () => AgentDoor;
  readonly replica: ConfigReplica;
}

interface WaitingOpen {
  readonly link: Link;
  readonly open: OpenCall;
  readonly until: number;
}

/** Takes offers of calls to the door, once this node's records are as new. */
export class OpenDesk {
  private waiting: readonly WaitingOpen[] = [];
  private suspects = suspectTable.empty();

  constructor(private readonly options: OpenDeskOptions) {}

  /** Takes an offer; asks the sender for records that this node lacks. */
  receive(link: Link, open: OpenCall): void {
    const {calls, replica} = this.options;
    if (calls.find(open.callId)) {
      return calls.attach(link, open.callId, open.resumeIndex);
    }
    if (open.configRevision <= replica.view().revision) {
      return this.offer(link, open);
    }
    replica.requestNewer(link);
    const until = Date.now() + AGENT.REFRESH_MS;
    this.waiting = [...this.waiting, {link, open, until}];
  }

  /** Takes up offers that waited for records, and refuses late ones. */
  review(): void {
    if (this.waiting.length === 0) return;
    const {revision} = this.options.replica.view();
    const now = Date.now();
    const {waiting} = this;
    const isDue = ({open}: WaitingOpen) => open.configRevision <= revision;
    this.waiting = waiting.filter(item => !isDue(item) && item.until > now);
    waiting.filter(isDue).forEach(({link, open}) => this.offer(link, open));
    waiting
      .filter(item => !isDue(item) && item.until <= now)
      .forEach(({link, open}) =>
        link.send(open.callId, this.refusal(open, 'not-ready')),
      );
  }

  /** Learns of a request that crashed engines. */
  recordSuspect(fingerprint: string, crashes: number): boolean {
    const now = Date.now();
    const known = suspectTable.crashCount(this.suspects, fingerprint, now);
    if (known >= crashes) return false;
    this.suspects = suspectTable.record(
      this.suspects,
      fingerprint,
      crashes,
      now,
    );
    return true;
  }

  private refusal(open: OpenCall, kind: Failure['kind']): PeerMessage {
    const messages: Partial<Record<Failure['kind'], string>> = {
      'not-ready': 'This node has not yet the newest configuration.',
      'suspect-request':
        'Backend servers crashed while they ran this request. It is refused for some minutes.',
    };
    const failure = createFailure(kind, messages[kind] ?? kind);
    return {type: 'refused', callId: open.callId, failure};
  }

  private offer(link: Link, open: OpenCall): void {
    const now = Date.now();
    if (suspectTable.isBlocked(this.suspects, open.fingerprint, now)) {
      const refusal = this.refusal(open, 'suspect-request');
      return link.send(open.callId, refusal);
    }
    this.options.calls.add(open, link.linkId);
    const workspace = this.options.replica
      .view()
      .find('workspace', open.workspace);
    this.options.door().step({
      type: 'offer',
      call: this.doorCall(open, now),
      weight: workspace?.weight ?? 1,
    });
  }

  private doorCall(open: OpenCall, now: number): ScheduledCall {
    return {
      callId: open.callId,
      workspace: open.workspace,
      target: open.target,
      callClass: open.callClass,
      promptTokens: open.promptTokens,
      totalTokens: open.totalTokens,
      deadlineAt: now + open.deadlineInMs,
      runsAlone: open.alone,
      fingerprint: open.fingerprint,
      reservationId: open.reservationId,
      arrivedAt: now,
    };
  }
}
