import type {BackendServer} from './backend_server.js';

/**
 * Time in milliseconds after a store outage for which unlisted servers are
 * kept. Servers that are still alive register again within this time.
 */
const REREGISTRATION_MS = 2_100;

/**
 * Time in milliseconds by which a missing server is dropped before the bound on
 * requests to servers that are gone.
 */
const DRAIN_MARGIN_MS = 300;

/**
 * Time in milliseconds for which a server is not used that was gone before the
 * store came back from an older copy. If it is alive, it registers again and
 * is still listed then.
 */
const DOUBTFUL_MS = 5_000;

/**
 * Longest time in milliseconds from the start of a server's process until the
 * server is listed, with the difference of the clocks of two machines.
 */
const START_TO_LISTED_MS = 3_000;

/** Backend servers that a gateway may use. */
interface KnownServers {
  readonly listed: readonly BackendServer[];
  /** Servers that are no longer listed, but may register again. */
  readonly unlisted: readonly BackendServer[];
  /** Ids of listed servers that had been gone before, and until when. */
  readonly doubtfulUntil: ReadonlyMap<string, number>;
  /** Time in milliseconds until which unlisted servers are kept. */
  readonly keptUntil: number;
  /** Unix time in milliseconds of the last listing; 0 before the first one. */
  readonly listedAt: number;
}

/** All servers in service discovery. */
interface Listing {
  readonly servers: readonly BackendServer[];
  /** Time in milliseconds at which the store was last reachable again. */
  readonly restoredAt: number;
  /**
   * The same as this gateway's own calls saw it.
   * @default restoredAt
   */
  readonly ownRestoredAt?: number;
  /**
   * Time in milliseconds before which no missing server had been removed.
   * @default now
   */
  readonly changedAfter?: number;
  /**
   * The store has come back from an older copy since the last listing.
   * @default false
   */
  readonly isRestored?: boolean;
  /**
   * Time in milliseconds after which a server that is gone must not get
   * requests any more.
   * @default Infinity
   */
  readonly drainMs?: number;
  /** Unix time in milliseconds, to compare with the start of servers. */
  readonly unixNow: number;
}

/** True if a server may have been gone at the time of the last listing. */
function mayHaveBeenGone(
  {processStartedAt = 0}: BackendServer,
  {listedAt}: KnownServers,
): boolean {
  return processStartedAt < listedAt - START_TO_LISTED_MS;
}

/**
 * Time in milliseconds at which a server that is missing now may have been
 * removed. After an outage of its own, a gateway can't know, and nothing binds it
 * until the servers have registered again.
 */
function mayBeRemovedAt(listing: Listing, now: number): number {
  const {restoredAt, ownRestoredAt = restoredAt, changedAfter = now} = listing;
  return now < ownRestoredAt + REREGISTRATION_MS ? now : changedAfter;
}

/** Tracks the listed servers, also through outages of the store. */
export const knownServers = {
  empty(): KnownServers {
    return {
      listed: [],
      unlisted: [],
      doubtfulUntil: new Map(),
      keptUntil: 0,
      listedAt: 0,
    };
  },

  /**
   * Replaces the listed servers. A ready server that is missing shortly after
   * an outage of the store is kept, unless another server has its address.
   */
  applyListing(
    known: KnownServers,
    listing: Listing,
    now: number,
  ): KnownServers {
    const {
      servers,
      restoredAt,
      isRestored = false,
      drainMs = Infinity,
      unixNow,
    } = listing;
    const ids = new Set(servers.map(({id}) => id));
    const addresses = new Set(servers.map(({host, port}) => `${host}:${port}`));
    const before = knownServers.all(known);
    const missing = before
      .filter(({state}) => state === 'ready')
      .filter(
        ({id, host, port}) => !ids.has(id) && !addresses.has(`${host}:${port}`),
      );
    const keptUntil = Math.min(
      known.unlisted.length > 0 ? known.keptUntil : Infinity,
      restoredAt + REREGISTRATION_MS,
      mayBeRemovedAt(listing, now) + drainMs - DRAIN_MARGIN_MS,
    );
    const isFirst = known.listed.length === 0;
    const beforeIds = new Set(before.map(({id}) => id));
    const returned =
      isRestored && !isFirst
        ? servers.filter(({id}) => !beforeIds.has(id))
        : [];
    const doubtful = returned
      .filter(server => mayHaveBeenGone(server, known))
      .map(({id}) => [id, now + DOUBTFUL_MS] as const);
    return {
      listed: servers,
      unlisted: keptUntil > now ? missing : [],
      doubtfulUntil: new Map([...known.doubtfulUntil, ...doubtful]),
      keptUntil,
      listedAt: unixNow,
    };
  },

  /**
   * Removes unlisted servers once their time to register again is over, and
   * doubts about listed ones. Returns `known` if there is nothing to remove.
   */
  removeExpired(known: KnownServers, now: number): KnownServers {
    const unlisted = now >= known.keptUntil ? [] : known.unlisted;
    const doubtful = [...known.doubtfulUntil].filter(
      ([, until]) => until > now,
    );
    const isUnchanged =
      unlisted.length === known.unlisted.length &&
      doubtful.length === known.doubtfulUntil.size;
    return isUnchanged
      ? known
      : {...known, unlisted, doubtfulUntil: new Map(doubtful)};
  },

  /** Listed servers, followed by the unlisted ones that are still kept. */
  all({
    listed,
    unlisted,
    doubtfulUntil,
  }: KnownServers): readonly BackendServer[] {
    const trusted = listed.filter(({id}) => !doubtfulUntil.has(id));
    return [...trusted, ...unlisted];
  },
};
