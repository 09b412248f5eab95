import type {BackendServer} from './backend_server.js';

/**
 * Time in milliseconds after a store outage for which unlisted servers are
 * kept. Servers that are still alive register again within this time.
 */
const REREGISTRATION_MS = 2_100;

/** Backend servers that a gateway may use. */
interface KnownServers {
  readonly listed: readonly BackendServer[];
  /** Servers that are no longer listed, but may register again. */
  readonly unlisted: readonly BackendServer[];
  /** Time in milliseconds at which the store was last reachable again. */
  readonly restoredAt: number;
}

/** All servers in service discovery. */
interface Listing {
  readonly servers: readonly BackendServer[];
  /** Time in milliseconds at which the store was last reachable again. */
  readonly restoredAt: number;
}

/** Tracks the listed servers, also through outages of the store. */
export const knownServers = {
  empty(): KnownServers {
    return {listed: [], unlisted: [], restoredAt: 0};
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
    const {servers, restoredAt} = listing;
    const ids = new Set(servers.map(({id}) => id));
    const addresses = new Set(servers.map(({host, port}) => `${host}:${port}`));
    const missing = knownServers
      .all(known)
      .filter(({state}) => state === 'ready')
      .filter(
        ({id, host, port}) => !ids.has(id) && !addresses.has(`${host}:${port}`),
      );
    const isSettled = now - restoredAt >= REREGISTRATION_MS;
    return {listed: servers, unlisted: isSettled ? [] : missing, restoredAt};
  },

  /** Removes unlisted servers once their time to register again is over. */
  removeExpired(known: KnownServers, now: number): KnownServers {
    const isDue = now - known.restoredAt >= REREGISTRATION_MS;
    return known.unlisted.length > 0 && isDue
      ? {...known, unlisted: []}
      : known;
  },

  /** Listed servers, followed by the unlisted ones that are still kept. */
  all(known: KnownServers): readonly BackendServer[] {
    return [...known.listed, ...known.unlisted];
  },
};
