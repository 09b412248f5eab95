import type {WorkChange} from '@figfall/decisions';
import type {Link} from '@figfall/node-link';
import {GATEWAY} from '../constants.js';
import type {Fleet} from '../core/fleet.js';
import type {HostPort} from './host_port.js';

/** Milliseconds after which an entry without a link is forgotten. */
const FORGET_MS = 20_000;

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

/** The other entries that one entry knows, and its links to them. */
export class PeerTable {
  /** Time at which each entry was last linked or heard of. */
  private readonly knownAt = new Map<string, number>();
  private readonly addresses = new Map<string, HostPort>();
  private readonly links = new Set<Link>();
  /** Newest change seen here, by the kind of object. */
  private seen: Readonly<Record<string, number>> = {};
  private outbox: WorkChange[] = [];
  private setPeers: (peers: readonly PeerAddress[]) => void = () => undefined;

  constructor(private readonly options: PeerTableOptions) {}

  start(setPeers: (peers: readonly PeerAddress[]) => void): void {
    this.setPeers = setPeers;
    this.learn(this.options.seeds);
  }

  count(): number {
    return this.links.size;
  }

  learn(addresses: readonly HostPort[]): void {
    const own = idOf(this.options.address);
    const fresh = addresses.filter(
      address => idOf(address) !== own && !this.addresses.has(idOf(address)),
    );
    fresh.forEach(address => {
      this.addresses.set(idOf(address), address);
      this.knownAt.set(idOf(address), this.options.now());
    });
    if (fresh.length === 0) return;
    this.applyPeers();
    this.links.forEach(link => this.sendEntries(link));
  }

  linked(link: Link): void {
    this.links.add(link);
    this.sendEntries(link);
    const changes = this.options.fleet.ownWork();
    link.send(WORK_STREAM, {type: 'work', changes});
  }

  /** Tells all linked entries of the newest change of a kind. */
  tellSeen(kind: string, revision: number): void {
    this.seen = {...this.seen, [kind]: revision};
    this.links.forEach(link => this.sendSeen(link));
  }

  /**
   * Place of this entry in an order of all linked ones that all agree on.
   */
  rank(): number {
    const own = idOf(this.options.address);
    return [...this.links].filter(link => (link.peer()?.id ?? own) < own)
      .length;
  }

  unlinked(link: Link): void {
    this.links.delete(link);
  }

  announce(change: WorkChange): void {
    if (this.links.size === 0) return;
    if (this.outbox.length === 0) {
      setTimeout(() => this.flush(), GATEWAY.WORK_BATCH_MS);
    }
    this.outbox.push(change);
  }

  tick(): void {
    this.links.forEach(link => this.sendSeen(link));
    const now = this.options.now();
    const seeds = this.options.seeds.map(idOf);
    const linkedHosts = [...this.links].map(link => link.peer()?.id);
    linkedHosts.forEach(id => id && this.knownAt.set(id, now));
    const stale = [...this.knownAt]
      .filter(([id, at]) => now - at > FORGET_MS && !seeds.includes(id))
      .map(([id]) => id);
    if (stale.length === 0) return;
    stale.forEach(id => {
      this.knownAt.delete(id);
      this.addresses.delete(id);
    });
    this.applyPeers();
  }

  private applyPeers(): void {
    const peers = [...this.addresses].map(([id, address]) => ({
      ...address,
      id,
    }));
    this.setPeers(peers);
  }

  private sendEntries(link: Link): void {
    const addresses = [this.options.address, ...this.addresses.values()];
    link.send(WORK_STREAM, {type: 'entries', addresses});
  }

  private sendSeen(link: Link): void {
    link.send(WORK_STREAM, {type: 'seen', revisions: this.seen});
  }

  private flush(): void {
    const changes = this.outbox;
    this.outbox = [];
    this.links.forEach(link => link.send(WORK_STREAM, {type: 'work', changes}));
  }
}
