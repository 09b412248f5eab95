import {createFailure, suspectTable} from '@figfall/decisions';
import type {ScheduledCall, Failure} from '@figfall/decisions';
import type {Link, OpenCall, PeerMessage} from '@figfall/node-link';
import type {ConfigReplica} from '../node/config_replica.js';
import type {AgentCallTable} from './agent_call_table.js';
import {AGENT} from './agent_constants.js';
import type {AgentScheduler} from './agent_scheduler.js';

interface OfferHandlerOptions {
  readonly calls: AgentCallTable;
  readonly scheduler: () => AgentScheduler;
  readonly replica: ConfigReplica;
}

/** An offer that waits for this node's configuration to catch up. */
interface PendingOffer {
  readonly link: Link;
  readonly open: OpenCall;
  readonly expiresAt: number;
}

/**
 * Passes offered calls to the scheduler. An offer made under a newer
 * configuration than this node's waits until the node has caught up.
 */
export class OfferHandler {
  private pending: readonly PendingOffer[] = [];
  private suspects = suspectTable.empty();

  constructor(private readonly options: OfferHandlerOptions) {}

  /**
   * Handles an offer. A call that is already known is attached to the link
   * instead; missing configuration records are requested from the sender.
   */
  receive(link: Link, open: OpenCall): void {
    const {calls, replica} = this.options;
    if (calls.find(open.callId)) {
      return calls.attach(link, open.callId, open.resumeIndex);
    }
    if (open.configRevision <= replica.view().revision) {
      return this.offer(link, open);
    }
    replica.requestNewer(link);
    const expiresAt = Date.now() + AGENT.CONFIG_WAIT_MS;
    this.pending = [...this.pending, {link, open, expiresAt}];
  }

  /** Offers pending calls whose configuration arrived; refuses expired ones. */
  retryPending(): void {
    if (this.pending.length === 0) return;
    const {revision} = this.options.replica.view();
    const now = Date.now();
    const {pending} = this;
    const isConfigCurrent = ({open}: PendingOffer) =>
      open.configRevision <= revision;
    this.pending = pending.filter(
      item => !isConfigCurrent(item) && item.expiresAt > now,
    );
    pending
      .filter(isConfigCurrent)
      .forEach(({link, open}) => this.offer(link, open));
    pending
      .filter(item => !isConfigCurrent(item) && item.expiresAt <= now)
      .forEach(({link, open}) =>
        link.send(open.callId, this.buildRefusal(open, 'not-ready')),
      );
  }

  /**
   * Records a request that crashed engines. Returns false if at least that
   * many crashes were already known.
   */
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

  private buildRefusal(open: OpenCall, kind: Failure['kind']): PeerMessage {
    const messages: Partial<Record<Failure['kind'], string>> = {
      'not-ready': 'This node does not have the newest configuration yet.',
      'suspect-request':
        'Backend servers crashed while running this request. It is refused for some minutes.',
    };
    const failure = createFailure(kind, messages[kind] ?? kind);
    return {type: 'refused', callId: open.callId, failure};
  }

  private offer(link: Link, open: OpenCall): void {
    const now = Date.now();
    if (suspectTable.isBlocked(this.suspects, open.fingerprint, now)) {
      const refusal = this.buildRefusal(open, 'suspect-request');
      return link.send(open.callId, refusal);
    }
    this.options.calls.add(open, link.linkId);
    const workspace = this.options.replica
      .view()
      .find('workspace', open.workspace);
    this.options.scheduler().step({
      type: 'offer',
      call: this.toScheduledCall(open, now),
      weight: workspace?.weight ?? 1,
    });
  }

  private toScheduledCall(open: OpenCall, now: number): ScheduledCall {
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
