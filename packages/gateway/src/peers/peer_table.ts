import type {WorkChange} from '@figfall/decisions';
import type {Link} from '@figfall/node-link';
import {GATEWAY} from '../constants.js';
import type {Fleet} from '../core/fleet.js';
import type {HostPort} from './host_port.js';

/** Milliseconds after which the address of an unlinked gateway is dropped. */
const PEER_EXPIRY_MS = 20_000;

const WORK_STREAM = 'work';

type PeerAddress = HostPort & {readonly id: string};

interface PeerTableOptions {
  readonly address: HostPort;
  readonly seeds: readonly HostPort[];
  readonly fleet: Fleet;
  readonly now: () => number;
}

function idOf({host, port}: HostPort): string {
  return `${host}:${port}`;
}

/** The other gateways that one gateway knows, and its links to them. */
export class PeerTable {
  /** Time at which each gateway was last linked or first heard of. */
  private readonly lastKnownAt = new Map<string, number>();
  private readonly addresses = new Map<string, HostPort>();
  private readonly links = new Set<Link>();
  /** Newest store revision seen here, by kind of object, and its era. */
  private seen: {
    readonly era: number;
    readonly revisions: Readonly<Record<string, number>>;
  } = {era: 0, revisions: {}};
  private pendingChanges: WorkChange[] = [];
  private setPeers: (peers: readonly PeerAddress[]) => void = () => undefined;

  constructor(private readonly options: PeerTableOptions) {}

  /** Starts dialling; `setPeers` gets all known addresses on each change. */
  start(setPeers: (peers: readonly PeerAddress[]) => void): void {
    this.setPeers = setPeers;
    this.addAddresses(this.options.seeds);
  }

  linkCount(): number {
    return this.links.size;
  }

  /** Adds unknown addresses, except the own one, and forwards them to peers. */
  addAddresses(addresses: readonly HostPort[]): void {
    const own = idOf(this.options.address);
    const unknown = addresses.filter(
      address => idOf(address) !== own && !this.addresses.has(idOf(address)),
    );
    unknown.forEach(address => {
      this.addresses.set(idOf(address), address);
      this.lastKnownAt.set(idOf(address), this.options.now());
    });
    if (unknown.length === 0) return;
    this.publishPeers();
    this.links.forEach(link => this.sendAddresses(link));
  }

  /** Adds a link and sends it all addresses and all of this gateway's work. */
  addLink(link: Link): void {
    this.links.add(link);
    this.sendAddresses(link);
    const changes = this.options.fleet.changesForNewPeer();
    link.send(WORK_STREAM, {type: 'work', changes});
  }

  /** Sends the newest store revision of a kind to all linked gateways. */
  announceRevision(kind: string, revision: number, era: number): void {
    const known = this.seen.era === era ? this.seen.revisions : {};
    this.seen = {era, revisions: {...known, [kind]: revision}};
    this.links.forEach(link => this.sendRevisions(link));
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
    this.links.delete(link);
  }

  /** Queues a change, sent to all linked gateways with the next batch. */
  announce(change: WorkChange): void {
    if (this.links.size === 0) return;
    if (this.pendingChanges.length === 0) {
      setTimeout(() => this.flush(), GATEWAY.WORK_BATCH_MS);
    }
    this.pendingChanges.push(change);
  }

  /** Repeats the newest revisions and removes expired non-seed addresses. */
  tick(): void {
    this.links.forEach(link => this.sendRevisions(link));
    const now = this.options.now();
    const seeds = this.options.seeds.map(idOf);
    const linkedIds = [...this.links].map(link => link.peer()?.id);
    linkedIds.forEach(id => id && this.lastKnownAt.set(id, now));
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

  private sendAddresses(link: Link): void {
    const addresses = [this.options.address, ...this.addresses.values()];
    link.send(WORK_STREAM, {type: 'entries', addresses});
  }

  private sendRevisions(link: Link): void {
    link.send(WORK_STREAM, {type: 'seen', ...this.seen});
  }

  private flush(): void {
    const changes = this.pendingChanges;
    this.pendingChanges = [];
    this.links.forEach(link => link.send(WORK_STREAM, {type: 'work', changes}));
  }
}
