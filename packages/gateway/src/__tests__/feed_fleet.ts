import {mock} from 'node:test';
import {fleetLoad} from '@figfall/decisions';
import type {FeedChange, FeedMember} from '@figfall/decisions';
import type {PeerMessage} from '@figfall/node-link';
import {FleetWork} from '../core/fleet_work.js';
import {WorkFeed} from '../peers/work_feed.js';

interface Gateway {
  readonly member: FeedMember;
  readonly work: FleetWork;
  readonly feed: WorkFeed;
  readonly linked: Set<string>;
  /** True for a gateway of the former version. */
  readonly isFormer: boolean;
  written: number;
  read: number;
  resyncs: number;
}

interface FleetOptions {
  readonly count: number;
  readonly zones?: number;
  /** Index of a gateway of the former version. @default none */
  readonly former?: number;
}

const ZONE_DELAY_MS = 1;
const OTHER_ZONE_DELAY_MS = 2;

/** Gateways that exchange changes of work without a network, in virtual time. */
export class FeedFleet {
  now = 0;
  readonly gateways: Gateway[];
  /** Pairs `from>to` whose messages are lost. */
  readonly cut = new Set<string>();
  /** Messages that were sent between availability zones. */
  crossings = 0;

  constructor({count, zones = 3, former = -1}: FleetOptions) {
    mock.timers.enable({apis: ['setTimeout']});
    this.gateways = Array.from({length: count}, (_, i) =>
      this.create(i, zones, i === former),
    );
    this.gateways.forEach(from =>
      this.gateways.forEach(to => from !== to && this.link(from, to)),
    );
    this.run(300);
  }

  private create(i: number, zones: number, isFormer: boolean): Gateway {
    const id = `g${String(i).padStart(3, '0')}`;
    const member = {id, zone: `z${i % zones}`, capacity: i < zones ? 2 : 1};
    const now = () => this.now;
    const announce = (change: unknown) => {
      if (!isFormer) return feed.announce(change as FeedChange);
      const message = {type: 'work', changes: [change as FeedChange]} as const;
      linked.forEach(to => this.send(id, to, message));
    };
    const work = new FleetWork({owner: id, now, announce});
    const linked = new Set<string>();
    const feed = new WorkFeed({
      own: member,
      owner: id,
      now,
      send: (to, message) => linked.has(to) && this.send(id, to, message),
      ownWork: () => work.changesForNewPeer(),
      apply: (change, owner) => work.apply(change as FeedChange, owner),
      replace: (changes, owner) => work.replace(changes, owner),
      onResync: () => (this.find(id).resyncs += 1),
      onRelay: () => undefined,
    });
    const counts = {written: 0, read: 0, resyncs: 0};
    return {member, work, feed, linked, isFormer, ...counts};
  }

  find(id: string): Gateway {
    return this.gateways.find(({member}) => member.id === id) as Gateway;
  }

  private link(from: Gateway, to: Gateway): void {
    from.linked.add(to.member.id);
    from.feed.setLinked([...from.linked]);
    if (from.isFormer) return;
    to.feed.addInbound(from.member.id, from.member.id, from.member.id);
    if (!to.isFormer) to.feed.setMember(from.member.id, from.member);
    this.send(from.member.id, to.member.id, from.feed.completeMessage());
  }

  /** Ends the links of a pair, as both ends notice it. */
  unlink(a: Gateway, b: Gateway): void {
    [
      [a, b],
      [b, a],
    ].forEach(([own, {member}]) => {
      own.linked.delete(member.id);
      own.feed.setLinked([...own.linked]);
      own.feed.removeInbound(member.id, member.id, member.id);
      own.work.prune(member.id);
    });
  }

  private send(from: string, to: string, message: PeerMessage): void {
    const [sender, receiver] = [this.find(from), this.find(to)];
    sender.written += 1;
    const isNear = sender.member.zone === receiver.member.zone;
    if (!isNear) this.crossings += 1;
    const delayMs = isNear ? ZONE_DELAY_MS : OTHER_ZONE_DELAY_MS;
    if (this.cut.has(`${from}>${to}`)) return;
    setTimeout(() => this.deliver(from, receiver, message), delayMs);
  }

  private deliver(from: string, to: Gateway, message: PeerMessage): void {
    if (!to.linked.has(from)) return;
    to.read += 1;
    if (!to.isFormer) return to.feed.receive(from, from, message as never);
    if (message.type !== 'work') throw new Error(`unknown: ${message.type}`);
    message.changes.forEach(change =>
      to.work.apply(change as FeedChange, from),
    );
  }

  /** Lets virtual time pass; `eachMs` runs before each millisecond. */
  run(ms: number, eachMs: () => void = () => undefined): void {
    Array.from({length: ms}).forEach(() => {
      eachMs();
      this.now += 1;
      mock.timers.tick(1);
      if (this.now % 250 > 0) return;
      this.gateways
        .filter(({isFormer}) => !isFormer)
        .forEach(({feed}) => feed.tick());
    });
  }

  /** What `at` knows of the work of `of`, in a form that can be compared. */
  view(at: Gateway, of: Gateway): readonly string[] {
    const changes = fleetLoad.changesOfOwner(at.work.load, of.member.id);
    return changes.map(change => JSON.stringify(change)).sort();
  }

  /** Pairs of linked gateways of which one does not know the other's work. */
  differences(gateways = this.gateways): readonly string[] {
    return gateways.flatMap(at =>
      gateways
        .filter(of => of === at || at.linked.has(of.member.id))
        .filter(of => `${this.view(at, of)}` !== `${this.view(of, of)}`)
        .map(of => `${at.member.id} of ${of.member.id}`),
    );
  }
}
