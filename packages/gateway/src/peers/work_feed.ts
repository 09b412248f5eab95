import {batchDelayMs, feedRelays, workOutbox} from '@figfall/decisions';
import type {FeedChange, FeedMember, WorkSection} from '@figfall/decisions';
import type {PeerMessage} from '@figfall/node-link';
import {GATEWAY} from '../constants.js';
import type {FeedOptions} from './feed_options.js';
import {PeerOwners} from './peer_owners.js';
import {WorkRelay} from './work_relay.js';

/** Milliseconds between messages that tell of the newest change sent. */
const DIGEST_INTERVAL_MS = 2_000;

/** Milliseconds for which a silent relay is not used. */
const SILENT_RELAY_MS = 5_000;

type FeedMessage = Extract<
  PeerMessage,
  {readonly type: 'work' | 'work-feed' | 'work-digest' | 'work-resync'}
>;

/**
 * Tells other gateways of this one's work and applies what they tell, through
 * relays where there are enough gateways, else directly.
 */
export class WorkFeed {
  private outbox = workOutbox.empty();
  /** Gateways that have announced that they understand relaying, by id. */
  private readonly known = new Map<string, FeedMember>();
  /** Newest link to this gateway, by the id of the other one. */
  private readonly inbound = new Map<
    string,
    {readonly owner: string; readonly linkId: string}
  >();
  private linkedIds: readonly string[] = [];
  /** The linked gateways that understand relaying, and this one. */
  private members: readonly FeedMember[];
  private relayId?: string;
  /** Time until which each silent relay is not used, by id. */
  private readonly silentUntil = new Map<string, number>();
  private lastSentAt = -Infinity;
  private lastDigestAt = -Infinity;
  private timer?: NodeJS.Timeout;
  private readonly owners: PeerOwners;
  private readonly relay: WorkRelay;

  constructor(private readonly options: FeedOptions) {
    this.members = [options.own];
    this.owners = new PeerOwners(options);
    this.relay = new WorkRelay({
      ...options,
      members: () => this.members,
      takeOwn: () => (this.isRelay() ? this.takeForAll() : []),
    });
  }

  /** Queues a change of this gateway's work for the next batch. */
  announce(change: FeedChange): void {
    this.outbox = workOutbox.add(this.outbox, change);
    this.schedule();
  }

  /** Sets the gateways to which messages can be sent. */
  setLinked(gatewayIds: readonly string[]): void {
    this.linkedIds = gatewayIds;
    this.chooseRelay();
  }

  /** Notes what a gateway has announced of itself; nothing if it is unknown. */
  setMember(gatewayId: string, member?: Omit<FeedMember, 'id'>): void {
    const before = this.known.get(gatewayId);
    if (!member && !before) return;
    if (member) this.known.set(gatewayId, {...member, id: gatewayId});
    else this.known.delete(gatewayId);
    this.chooseRelay();
  }

  /** Availability zones that linked gateways have announced. */
  zones(): ReadonlySet<string> {
    return new Set([...this.known.values()].map(({zone}) => zone));
  }

  /** Message that tells a gateway of all work of this one. */
  completeMessage(changes = this.options.ownWork()): FeedMessage {
    const lastNumber = this.outbox.newest;
    return {type: 'work', changes, lastNumber, isComplete: true};
  }

  /** Handles a message from the gateway `gatewayId`, of incarnation `owner`. */
  receive(gatewayId: string, owner: string, message: FeedMessage): void {
    const {owners, options} = this;
    switch (message.type) {
      case 'work':
        return owners.receiveWork(gatewayId, owner, message);
      case 'work-feed':
        return this.receiveFeed(message);
      case 'work-digest':
        return owners.receiveDigest(gatewayId, owner, message.number);
      default:
        options.send(gatewayId, this.completeMessage());
    }
  }

  /** Notes a link from a gateway, of incarnation `owner`, to this one. */
  addInbound(gatewayId: string, owner: string, linkId: string): void {
    this.inbound.set(gatewayId, {owner, linkId});
  }

  /**
   * Forgets a gateway whose link to this one is lost. False if the same process
   * has a newer link, as where the loss of the former one is noticed late.
   */
  removeInbound(gatewayId: string, owner: string, linkId: string): boolean {
    const newest = this.inbound.get(gatewayId);
    const hasNewer = newest !== undefined && newest.linkId !== linkId;
    if (hasNewer && newest.owner === owner) return false;
    this.owners.remove(owner);
    if (hasNewer) return true;
    this.inbound.delete(gatewayId);
    this.setMember(gatewayId);
    return true;
  }

  /** Sends digests, asks for lost changes and replaces a silent relay. */
  tick(): void {
    const now = this.options.now();
    this.owners.askOverdue();
    if (this.relayId && workOutbox.isEchoLate(this.outbox, now)) {
      this.silentUntil.set(this.relayId, now + SILENT_RELAY_MS);
    }
    if (this.silentUntil.size > 0) this.chooseRelay();
    if (now - this.lastDigestAt < DIGEST_INTERVAL_MS) return;
    this.lastDigestAt = now;
    const message = {type: 'work-digest', number: this.outbox.sent} as const;
    this.members
      .filter(({id}) => id !== this.options.own.id)
      .forEach(({id}) => this.options.send(id, message));
  }

  private receiveFeed({
    stage,
    sections,
  }: Extract<FeedMessage, {readonly type: 'work-feed'}>): void {
    const {owner, now} = this.options;
    sections.forEach(section => {
      if (section.owner !== owner) return this.owners.receiveSection(section);
      const {lastNumber} = section;
      this.outbox = workOutbox.acknowledge(this.outbox, lastNumber, now());
    });
    if (stage === 'collect') this.relay.collect(sections);
    if (stage === 'exchange') this.relay.receiveExchange(sections);
  }

  /** True if the gateways of this one's zone send their changes to it. */
  isRelay(): boolean {
    return this.relayId === this.options.own.id;
  }

  private chooseRelay(): void {
    const {own, now, onRelay} = this.options;
    const linked = this.linkedIds.flatMap(id => this.known.get(id) ?? []);
    this.members = [own, ...linked];
    [...this.silentUntil]
      .filter(([, until]) => until <= now())
      .forEach(([id]) => this.silentUntil.delete(id));
    const silent = new Set(this.silentUntil.keys());
    const relayId = feedRelays.choose(this.members, own.zone, silent);
    if (relayId === this.relayId) return;
    this.relayId = relayId;
    this.outbox = workOutbox.reroute(this.outbox);
    onRelay(relayId, this.isRelay());
    if (workOutbox.hasUnsent(this.outbox)) this.schedule();
  }

  private schedule(): void {
    if (this.isRelay()) return this.relay.schedule();
    if (this.timer) return;
    const delayMs = this.relayId
      ? batchDelayMs('owner', this.lastSentAt, this.options.now())
      : GATEWAY.WORK_BATCH_MS;
    this.timer = setTimeout(() => this.flush(), delayMs);
  }

  private flush(): void {
    const {relayId, options} = this;
    this.timer = undefined;
    if (!workOutbox.hasUnsent(this.outbox) || this.isRelay()) return;
    const now = options.now();
    this.lastSentAt = now;
    if (!relayId) {
      const sections = this.takeForAll();
      return this.sendDirectly(this.linkedIds, sections);
    }
    const [outbox, batch] = workOutbox.takeForRelay(this.outbox, now);
    this.outbox = outbox;
    const sections = [{...batch, owner: options.owner}];
    options.send(relayId, {type: 'work-feed', stage: 'collect', sections});
    this.sendDirectly(this.unrelayedIds(), sections);
  }

  /** Takes the own changes for all gateways; a relay also sends them itself. */
  private takeForAll(): readonly WorkSection[] {
    const [outbox, batch] = workOutbox.takeForAll(this.outbox);
    this.outbox = outbox;
    if (batch.changes.length === 0) return [];
    const sections = [{...batch, owner: this.options.owner}];
    if (this.isRelay()) this.sendDirectly(this.unrelayedIds(), sections);
    return sections;
  }

  /** Linked gateways that do not understand relaying. */
  private unrelayedIds(): readonly string[] {
    return this.linkedIds.filter(id => !this.known.has(id));
  }

  private sendDirectly(
    gatewayIds: readonly string[],
    sections: readonly WorkSection[],
  ): void {
    sections.forEach(({changes, lastNumber}) => {
      const message = {type: 'work', changes, lastNumber} as const;
      gatewayIds.forEach(id => this.options.send(id, message));
    });
  }
}
