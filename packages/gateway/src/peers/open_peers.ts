import type {PermitMessage, WorkChange} from '@figfall/decisions';
import {createLinkPool, createLinkServer} from '@figfall/node-link';
import type {LinkEvent, LinkOptions, PeerMessage} from '@figfall/node-link';
import type {Logger} from '@figfall/observability';
import {repeatEvery} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import type {Fleet} from '../core/fleet.js';
import type {PermitGateways} from '../core/permit_gateways.js';
import type {HostPort} from './host_port.js';
import {PeerTable} from './peer_table.js';

/** Milliseconds between checks for lost changes, silent relays and reports. */
const FEED_TICK_MS = 250;

interface PeersOptions {
  readonly linkOptions: LinkOptions;
  /** Address on which this gateway accepts links. */
  readonly address: HostPort;
  /** Addresses of gateways to dial first; they never expire. */
  readonly seeds: readonly HostPort[];
  /** Repeats attempts to accept links on the address. @default one attempt */
  readonly retryListen?: <Value, Env>(
    listen: Effect.Effect<Value, Error, Env>,
  ) => Effect.Effect<Value, Error, Env>;
  readonly fleet: Fleet;
  /** Availability zone of this gateway. @default none */
  readonly zone?: string;
  /** Processor capacity of this gateway in cores. @default not known */
  readonly capacity?: number;
  /** Called as this gateway begins or ceases to relay for its zone. */
  readonly onRelayRole?: (isRelay: boolean) => void;
  /** Called when a gateway is asked for all of its work. */
  readonly onResync?: () => void;
  readonly logger: Logger;
  readonly random: () => number;
  readonly now: () => number;
  /** Called with the number of linked gateways. */
  readonly onPeerCount: (count: number) => void;
  /** Called with the gateways that share limits, as they change. */
  readonly onGateways: (gateways: PermitGateways) => void;
  /** True if this gateway's last calls to the store succeeded. */
  readonly isStoreReachable: () => boolean;
  /** What this gateway has read of the store, by kind of object. */
  readonly storeCopies?: () => StoreCopies;
  /** Called with each report of a peer that watches the store for others. */
  readonly onStoreReport: (peerId: string, copies: StoreCopies) => void;
  /** Called with changes of the store that a peer has read. */
  readonly onStoreChanges: (changes: StoreChanges) => void;
  /** Called with the newest store revision of a kind that a peer has seen. */
  readonly onRevisionSeen: (
    kind: string,
    revision: number,
    era: number,
  ) => void;
}

type StoreChanges = Extract<PeerMessage, {readonly type: 'store-changes'}>;

type StoreCopies = NonNullable<
  Extract<PeerMessage, {readonly type: 'seen'}>['copies']
>;

interface Peers {
  /** Sends a change of this gateway's work to all linked gateways. */
  readonly announce: (change: WorkChange) => void;
  /** Sends the newest store revision of a kind to all linked gateways. */
  readonly announceRevision: (
    kind: string,
    revision: number,
    era: number,
  ) => void;
  /** Sends changes of the store to linked gateways, if this one is a relay. */
  readonly announceChanges: (changes: StoreChanges) => void;
  /** Sends a message about permits to a linked gateway. */
  readonly sendPermits: (gatewayId: string, message: PermitMessage) => void;
  /** Position, from 0, of this gateway among the linked ones ordered by id. */
  readonly rank: () => number;
  /** Removes expired non-seed addresses. */
  readonly tick: () => void;
}

/**
 * Links the gateways of a deployment, so that each knows what work the others
 * have sent to which backend server. Placement uses this only as a hint: a
 * gateway without links serves requests by its own view.
 */
export function openPeers(
  options: PeersOptions,
): Effect.Effect<Peers, Error, Scope.Scope> {
  const {linkOptions, fleet, logger, random} = options;
  const {retryListen = listen => listen} = options;

  const onInbound = (event: LinkEvent): void => {
    if (event.type === 'message') {
      const {link, message, stream, windowBytes} = event;
      const {id = '', incarnation = ''} = link.peer() ?? {};
      if (
        message.type === 'work' ||
        message.type === 'work-feed' ||
        message.type === 'work-digest' ||
        message.type === 'work-resync'
      ) {
        table.feed.receive(id, incarnation, message);
      }
      if (message.type === 'seen') {
        const {revisions, era = 0, copies = {}} = message;
        options.onStoreReport(id, copies);
        Object.entries(revisions).forEach(([kind, revision]) =>
          options.onRevisionSeen(kind, revision, era),
        );
      }
      if (message.type === 'permit-requests' || message.type === 'permits') {
        fleet.limits.permits.receive(id, message);
      }
      if (message.type === 'store-changes') options.onStoreChanges(message);
      if (message.type === 'entries') {
        const {relaysWork, zone = '', capacity = 0, addresses} = message;
        table.feed.setMember(id, relaysWork ? {zone, capacity} : undefined);
        fleet.zones.setLinkedZones(table.feed.zones());
        table.addAddresses(addresses);
      }
      return link.returnCredit(stream, windowBytes);
    }
    const {linkId} = event.link;
    if (event.type === 'link-up') {
      table.feed.addInbound(event.peer.id, event.peer.incarnation, linkId);
    }
    if (event.type === 'link-down' && event.peer) {
      const {id, incarnation} = event.peer;
      if (table.feed.removeInbound(id, incarnation, linkId)) {
        fleet.prune(incarnation);
        fleet.zones.setLinkedZones(table.feed.zones());
      }
    }
  };

  const onOutbound = (event: LinkEvent): void => {
    const peer = event.link.peer();
    if (event.type === 'link-up') {
      logger.info('entry linked', {peer: event.peer.id});
      table.addLink(event.link);
    }
    if (event.type === 'link-down') {
      if (peer) {
        logger.info('entry lost', {peer: peer.id, reason: event.reason});
      }
      table.removeLink(event.link);
    }
    if (event.type === 'message')
      event.link.returnCredit(event.stream, event.windowBytes);
    options.onPeerCount(table.linkCount());
    options.onGateways(table.gateways());
  };

  const table = new PeerTable({
    ...options,
    owner: linkOptions.node.incarnation,
    onResync: peer => {
      logger.info('work of a gateway asked for again', {peer});
      options.onResync?.();
    },
    onRelay: (relay, isOwn) => {
      logger.info('work relay changed', {relay: relay ?? 'none', isOwn});
      options.onRelayRole?.(isOwn);
    },
  });
  return Effect.gen(function* () {
    yield* retryListen(
      createLinkServer({
        ...linkOptions,
        ...options.address,
        onEvent: onInbound,
      }),
    );
    const pool = yield* createLinkPool({
      ...linkOptions,
      random,
      onEvent: onOutbound,
    });
    table.start(pool.setPeers);
    yield* repeatEvery(FEED_TICK_MS, () => {
      table.feed.tick();
      table.storeReports.tick();
    });
    return {
      announce: change => table.announce(change),
      announceRevision: (kind, revision, era) =>
        table.storeReports.announceRevision(kind, revision, era),
      announceChanges: changes => table.announceChanges(changes),
      sendPermits: (gatewayId, message) => table.sendTo(gatewayId, message),
      rank: () => table.rank(),
      tick: () => {
        table.tick();
        options.onGateways(table.gateways());
      },
    };
  });
}
