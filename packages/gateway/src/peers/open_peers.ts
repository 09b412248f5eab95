import type {WorkChange} from '@figfall/decisions';
import {createLinkPool, createLinkServer} from '@figfall/node-link';
import type {LinkEvent, LinkOptions} from '@figfall/node-link';
import type {Logger} from '@figfall/observability';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import type {Fleet} from '../core/fleet.js';
import type {HostPort} from './host_port.js';
import {PeerTable} from './peer_table.js';

interface PeersOptions {
  readonly linkOptions: LinkOptions;
  readonly address: HostPort;
  readonly seeds: readonly HostPort[];
  readonly fleet: Fleet;
  readonly logger: Logger;
  readonly random: () => number;
  readonly now: () => number;
  /** Learns how many other entries are linked. */
  readonly onPeerCount: (count: number) => void;
  /** Learns the newest change of a kind that another entry has seen. */
  readonly onRevisionSeen: (kind: string, revision: number) => void;
}

interface Peers {
  /** Tells all linked entries of this entry's work. */
  readonly announce: (change: WorkChange) => void;
  /** Tells all linked entries of the newest change of a kind. */
  readonly announceRevision: (kind: string, revision: number) => void;
  /** Place of this entry in an order of all linked ones. */
  readonly rank: () => number;
  /** Forgets entries that are long gone. */
  readonly tick: () => void;
}

/**
 * Links the entries of a deployment with each other, so that each knows what
 * the others have sent to which backend server. What they tell is a hint for
 * placement: an entry without links serves on with its own view.
 */
export function openPeers(
  options: PeersOptions,
): Effect.Effect<Peers, Error, Scope.Scope> {
  const {linkOptions, fleet, logger, random} = options;

  const onInbound = (event: LinkEvent): void => {
    if (event.type === 'message') {
      const {link, message, stream, windowBytes: cost} = event;
      const owner = link.peer()?.incarnation ?? '';
      if (message.type === 'work') {
        message.changes.forEach(change =>
          fleet.applyRemoteChange(change, owner),
        );
      }
      if (message.type === 'seen') {
        Object.entries(message.revisions).forEach(([kind, revision]) =>
          options.onRevisionSeen(kind, revision),
        );
      }
      if (message.type === 'entries') table.learn(message.addresses);
      return link.returnCredit(stream, cost);
    }
    if (event.type === 'link-down' && event.peer) {
      fleet.prune(event.peer.incarnation);
    }
  };

  const onOutbound = (event: LinkEvent): void => {
    const peer = event.link.peer();
    if (event.type === 'link-up') {
      logger.info('entry linked', {peer: event.peer.id});
      table.linked(event.link);
    }
    if (event.type === 'link-down') {
      if (peer) {
        logger.info('entry lost', {peer: peer.id, reason: event.reason});
      }
      table.unlinked(event.link);
    }
    if (event.type === 'message')
      event.link.returnCredit(event.stream, event.windowBytes);
    options.onPeerCount(table.count());
  };

  const table = new PeerTable(options);
  return Effect.gen(function* () {
    yield* createLinkServer({
      ...linkOptions,
      ...options.address,
      onEvent: onInbound,
    });
    const pool = yield* createLinkPool({
      ...linkOptions,
      random,
      onEvent: onOutbound,
    });
    table.start(pool.setPeers);
    return {
      announce: change => table.announce(change),
      announceRevision: (kind, revision) => table.tellSeen(kind, revision),
      rank: () => table.rank(),
      tick: () => table.tick(),
    };
  });
}
