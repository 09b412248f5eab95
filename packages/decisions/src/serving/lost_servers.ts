import {mapWith} from '../shared/map_with.js';
import {withNewest} from '../shared/with_newest.js';

/** The last known loss of a server. */
interface LostServer {
  /** Losses of processes that had this id, from 1. */
  readonly count: number;
  /** Time in milliseconds. */
  readonly at: number;
  /** Start of the lost process, in Unix milliseconds, if known. */
  readonly processStartedAt?: number;
  /** True if a server with the id has responded since. */
  readonly isBack: boolean;
}

interface Loss {
  readonly serverId: string;
  /** Start of the process as the reporting gateway knows it. */
  readonly processStartedAt?: number;
  /** Milliseconds from sending the request to the loss. */
  readonly heldMs: number;
}

type LostServers = ReadonlyMap<string, LostServer>;

/** Milliseconds that a server takes at least to crash, start and crash again. */
const RESTART_MS = 1_000;

/** Largest number of servers kept; the oldest are dropped first. */
const SERVERS_MAX = 1_024;

function isRestarted(known: LostServer, loss: Loss): boolean {
  return (
    known.processStartedAt !== undefined &&
    loss.processStartedAt !== undefined &&
    known.processStartedAt !== loss.processStartedAt
  );
}

/** True if both losses are of one crash, seen by different requests. */
function isSameCrash(known: LostServer, loss: Loss, now: number): boolean {
  if (now - loss.heldMs <= known.at) return true;
  if (isRestarted(known, loss)) return false;
  return !known.isBack || now - known.at < RESTART_MS;
}

/**
 * Tells the crashes of servers apart. A server may start again under the id that
 * it had; its entry may not name the start of its process, and gateways learn of
 * a restart at different times. A request that was sent after a loss and lost as
 * well was at another process if the server has responded in between; otherwise
 * the server may still be down.
 */
export const lostServers = {
  empty(): LostServers {
    return new Map();
  },

  /** Records a response of a server to a request that was sent at `sentAt`. */
  recordResponse(
    lost: LostServers,
    serverId: string,
    sentAt: number,
  ): LostServers {
    const known = lost.get(serverId);
    if (!known || known.isBack || sentAt <= known.at) return lost;
    return mapWith(lost, serverId, {...known, isBack: true});
  },

  /** Returns an id of the crash that a loss belongs to, and the losses since. */
  identify(
    lost: LostServers,
    loss: Loss,
    now: number,
  ): {readonly lost: LostServers; readonly crashId: string} {
    const {serverId, processStartedAt} = loss;
    const known = lost.get(serverId);
    if (known && isSameCrash(known, loss, now)) {
      return {lost, crashId: `${serverId}#${known.count}`};
    }
    const count = (known?.count ?? 0) + 1;
    const next = {count, at: now, processStartedAt, isBack: false};
    return {
      lost: withNewest(lost, serverId, next, SERVERS_MAX),
      crashId: `${serverId}#${count}`,
    };
  },
};
