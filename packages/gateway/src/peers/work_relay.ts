import {batchDelayMs, feedRelays, mergeSections} from '@figfall/decisions';
import type {FeedMember, WorkSection} from '@figfall/decisions';
import type {FeedOptions} from './feed_options.js';

/**
 * Milliseconds for which changes are kept for a gateway that is linked later or
 * replaces a relay: the time-out of a silent link, and the delay of a batch.
 */
const KEPT_MS = 3_500;

/** Changes that were sent together. */
interface Batch {
  readonly at: number;
  /** Changes of gateways of the own zone. */
  readonly zone: readonly WorkSection[];
  /** Changes of gateways of all zones. */
  readonly all: readonly WorkSection[];
}

interface WorkRelayOptions extends Pick<FeedOptions, 'own' | 'now' | 'send'> {
  /** The linked gateways that understand relaying, and this one. */
  readonly members: () => readonly FeedMember[];
  /** Changes of this gateway's own work to send along, if it is a relay. */
  readonly takeOwn: () => readonly WorkSection[];
}

/**
 * Passes on the changes of other gateways. It serves whoever sends to it, also
 * while gateways do not agree yet on the relay.
 */
export class WorkRelay {
  private fromZone: WorkSection[] = [];
  private fromRelays: WorkSection[] = [];
  private lastSentAt = -Infinity;
  /** What was sent of late, oldest first. */
  private kept: Batch[] = [];
  private lastTargets: ReadonlySet<string> = new Set();
  private timer?: NodeJS.Timeout;

  constructor(private readonly options: WorkRelayOptions) {}

  /** Adds changes of gateways of the own zone, for all zones. */
  collect(sections: readonly WorkSection[]): void {
    this.fromZone.push(...sections);
    this.schedule();
  }

  /** Adds changes that another zone's relay has sent, for the own zone. */
  receiveExchange(sections: readonly WorkSection[]): void {
    this.fromRelays.push(...sections);
    this.schedule();
  }

  /** Sends the next batch when its window has passed. */
  schedule(): void {
    if (this.timer) return;
    const delayMs = batchDelayMs('relay', this.lastSentAt, this.options.now());
    this.timer = setTimeout(() => this.flush(), delayMs);
  }

  private flush(): void {
    const {own, members, takeOwn, now} = this.options;
    this.timer = undefined;
    const at = now();
    const zone = mergeSections([...this.fromZone, ...takeOwn()]);
    const all = [...zone, ...mergeSections(this.fromRelays)];
    this.fromZone = [];
    this.fromRelays = [];
    if (all.length === 0) return;
    this.lastSentAt = at;
    this.kept = this.kept.filter(batch => at - batch.at <= KEPT_MS);
    const {ownZone, relays, unrelayed} = feedRelays.targets(members(), own);
    const batch = {at, zone, all};
    this.sendBatch(ownZone, 'deliver', 'all', batch);
    this.sendBatch(relays, 'exchange', 'zone', batch);
    this.sendBatch(unrelayed, 'deliver', 'zone', batch);
    this.lastTargets = new Set([...ownZone, ...relays, ...unrelayed]);
    this.kept.push(batch);
  }

  /**
   * Sends changes to gateways. Those that got none before also get what was
   * sent of late: they may have been linked only now, or replace a relay that
   * has not passed it on.
   */
  private sendBatch(
    gatewayIds: readonly string[],
    stage: 'exchange' | 'deliver',
    part: 'zone' | 'all',
    batch: Batch,
  ): void {
    const added = gatewayIds.filter(id => !this.lastTargets.has(id));
    if (added.length > 0) {
      const kept = this.kept.flatMap(earlier => earlier[part]);
      this.sendTo(added, stage, mergeSections(kept));
    }
    this.sendTo(gatewayIds, stage, batch[part]);
  }

  /** Sends one message object to each gateway, so that it is encoded once. */
  private sendTo(
    gatewayIds: readonly string[],
    stage: 'exchange' | 'deliver',
    sections: readonly WorkSection[],
  ): void {
    if (sections.length === 0) return;
    const message = {type: 'work-feed', stage, sections} as const;
    gatewayIds.forEach(id => this.options.send(id, message));
  }
}
