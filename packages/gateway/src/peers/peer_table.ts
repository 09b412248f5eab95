import {isFeedChange, knownMembers, storeRelays} from '@figfall/decisions';
import type {FeedMember, PermitMessage, WorkChange} from '@figfall/decisions';
import type {Link, PeerMessage} from '@figfall/node-link';
import {GATEWAY} from '../constants.js';
import type {Fleet} from '../core/fleet.js';
import type {PermitGateways} from '../core/permit_gateways.js';
import type {HostPort} from './host_port.js';
import type {FeedOptions} from './feed_options.js';
import {isPort} from './is_port.js';
import {splitChanges} from './split_changes.js';
import {StoreReports} from './store_reports.js';
import {WorkFeed} from './work_feed.js';

/** Milliseconds after which the address of an unlinked gateway is dropped. */
const PEER_EXPIRY_MS = 20_000;

const WORK_STREAM = 'work';

const PERMIT_STREAM = 'permits';

type PeerAddress = HostPort & {readonly id: string};

interface PeerTableOptions {
  readonly address: HostPort;
  readonly seeds: readonly HostPort[];
  readonly fleet: Fleet;
  readonly now: () => number;
  /** True if this gateway's last calls to the store succeeded. */
  readonly isStoreReachable: () => boolean;
  /** What this gateway has read of the store. @default nothing */
  readonly storeCopies?: ConstructorParameters<
    typeof StoreReports
  >[0]['copies'];
  /** Unique id of this gateway's process, as owner of its work. @default its id */
  readonly owner?: string;
  /** Availability zone of this gateway. @default none */
  readonly zone?: string;
  /** Processor capacity of this gateway in cores. @default not known */
  readonly capacity?: number;
  readonly onResync?: FeedOptions['onResync'];
  readonly onRelay?: FeedOptions['onRelay'];
}

function workMessage(changes: readonly WorkChange[]) {
  return {type: 'work', changes} as const;
}

function idOf({host, port}: HostPort): string {
  return `${host}:${port}`;
}

/** False for an address that no connection can be made to. */
function isDialable({host, port}: HostPort): boolean {
  return isPort(port) && typeof host === 'string' && host !== '';
}

/** The other gateways that one gateway knows, and its links to them. */
export class PeerTable {
  /** Time at which each gateway was last linked or first heard of. */
  private readonly lastKnownAt = new Map<string, number>();
  private readonly addresses = new Map<string, HostPort>();
  private readonly links = new Set<Link>();
  /** The other gateways that are taken to be at work, linked or not. */
  private members: Parameters<typeof knownMembers.count>[0] = new Map();
  /** What this gateway tells the others of the store. */
  readonly storeReports: StoreReports;
  private pendingChanges: WorkChange[] = [];
  private linkById: ReadonlyMap<string, Link> = new Map();
  private readonly own: FeedMember;
  /** Changes of work, to and from other gateways. */
  readonly feed: WorkFeed;
  private setPeers: (peers: readonly PeerAddress[]) => void = () => undefined;

  constructor(private readonly options: PeerTableOptions) {
    const {address, fleet, zone = '', capacity = 0} = options;
    this.own = {id: idOf(address), zone, capacity};
    this.storeReports = new StoreReports({
      now: options.now,
      isRelay: () => storeRelays.isRelay(this.rank()),
      isStoreReachable: options.isStoreReachable,
      copies: options.storeCopies,
      send: report =>
        this.links.forEach(link => link.send(WORK_STREAM, report)),
    });
    this.feed = new WorkFeed({
      own: this.own,
      owner: options.owner ?? this.own.id,
      now: options.now,
      send: (id, message) => this.linkById.get(id)?.send(WORK_STREAM, message),
      ownWork: () => fleet.work.changesForNewPeer(),
      apply: (change, owner) => fleet.applyRemoteChange(change, owner),
      replace: (changes, owner) => fleet.work.replace(changes, owner),
      onResync: id => options.onResync?.(id),
      onRelay: (id, isOwn) => options.onRelay?.(id, isOwn),
    });
  }

  /** Starts dialling; `setPeers` gets all known addresses on each change. */
  start(setPeers: (peers: readonly PeerAddress[]) => void): void {
    this.setPeers = setPeers;
    this.addAddresses(this.options.seeds);
  }

  linkCount(): number {
    return this.links.size;
  }

  /** The gateways that share limits, and those that can be reached of them. */
  gateways(): PermitGateways {
    const linked = [...new Set(this.linkedIds())].sort();
    return {linked, total: knownMembers.count(this.members)};
  }

  /** Sends a message to one linked gateway. */
  sendTo(id: string, message: PermitMessage): void {
    const link = [...this.links].find(other => other.peer()?.id === id);
    link?.send(PERMIT_STREAM, message);
  }

  private linkedIds(): readonly string[] {
    return [...this.links].flatMap(link => link.peer()?.id ?? []);
  }

  /** Adds unknown addresses, except the own one, and forwards them to peers. */
  addAddresses(addresses: readonly HostPort[]): void {
    const own = idOf(this.options.address);
    const unknown = addresses.filter(
      address =>
        isDialable(address) &&
        idOf(address) !== own &&
        !this.addresses.has(idOf(address)),
    );
    unknown.forEach(address => {
      this.addresses.set(idOf(address), address);
      this.lastKnownAt.set(idOf(address), this.options.now());
    });
    if (unknown.length === 0) return;
    const now = this.options.now();
    this.members = knownMembers.add(this.members, unknown.map(idOf), now);
    this.publishPeers();
    const message = this.addressMessage();
    this.links.forEach(link => link.send(WORK_STREAM, message));
  }

  /** Adds a link and sends it all addresses and all of this gateway's work. */
  addLink(link: Link): void {
    this.links.add(link);
    link.send(WORK_STREAM, this.addressMessage());
    const changes = this.options.fleet.changesForNewPeer();
    const work = changes.filter(isFeedChange);
    const others = changes.filter(change => !isFeedChange(change));
    const [first = [], ...rest] = splitChanges(others);
    const complete = this.feed.completeMessage([...first, ...work]);
    link.send(WORK_STREAM, complete);
    rest.forEach(part => link.send(WORK_STREAM, workMessage(part)));
    this.updateFeedLinks();
  }

  /** Sends changes of the store to all linked gateways, if this is a relay. */
  announceChanges(
    message: Extract<PeerMessage, {readonly type: 'store-changes'}>,
  ): void {
    if (!storeRelays.sendsChanges(this.rank())) return;
    this.links.forEach(link => link.send(WORK_STREAM, message));
  }

  /**
   * Position, from 0, of this gateway among the linked ones ordered by id, so
   * that linked gateways agree on the order.
   */
  rank(): number {
    const own = idOf(this.options.address);
    return [...this.links].filter(link => (link.peer()?.id ?? own) < own)
      .length;
  }

  removeLink(link: Link): void {
    if (this.links.delete(link)) this.updateFeedLinks();
  }

  private updateFeedLinks(): void {
    this.linkById = new Map(
      [...this.links].flatMap(link => {
        const id = link.peer()?.id;
        return id === undefined ? [] : [[id, link] as const];
      }),
    );
    this.feed.setLinked([...this.linkById.keys()]);
  }

  /** Queues a change, sent to all linked gateways with the next batch. */
  announce(change: WorkChange): void {
    if (isFeedChange(change)) return this.feed.announce(change);
    if (this.links.size === 0) return;
    if (this.pendingChanges.length === 0) {
      setTimeout(() => this.flush(), GATEWAY.WORK_BATCH_MS);
    }
    this.pendingChanges.push(change);
  }

  /** Removes expired non-seed addresses. */
  tick(): void {
    const now = this.options.now();
    const seeds = this.options.seeds.map(idOf);
    const linkedIds = this.linkedIds();
    this.members = knownMembers.update(this.members, linkedIds, now);
    linkedIds.forEach(id => this.lastKnownAt.set(id, now));
    const expired = [...this.lastKnownAt]
      .filter(([id, at]) => now - at > PEER_EXPIRY_MS && !seeds.includes(id))
      .map(([id]) => id);
    if (expired.length === 0) return;
    expired.forEach(id => {
      this.lastKnownAt.delete(id);
      this.addresses.delete(id);
    });
    this.publishPeers();
  }

  private publishPeers(): void {
    const peers = [...this.addresses].map(([id, address]) => ({
      ...address,
      id,
    }));
    this.setPeers(peers);
  }

  private addressMessage() {
    const addresses = [this.options.address, ...this.addresses.values()];
    const {zone, capacity} = this.own;
    return {
      type: 'entries',
      addresses,
      relaysWork: true,
      zone,
      capacity,
    } as const;
  }

  private flush(): void {
    const messages = splitChanges(this.pendingChanges).map(workMessage);
    this.pendingChanges = [];
    messages.forEach(message =>
      this.links.forEach(link => link.send(WORK_STREAM, message)),
    );
  }
}
