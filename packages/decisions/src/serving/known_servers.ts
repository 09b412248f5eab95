import type {BackendServer} from './backend_server.js';

/**
 * Milliseconds after the store's return during which a server whose entry is
 * missing still counts, because live servers list themselves again.
 */
const RELIST_MS = 2_100;

/** Backend servers as an entry uses them. */
interface Roster {
  readonly listed: readonly BackendServer[];
  /** Servers whose entries have lapsed, until `restoredAt` + `RELIST_MS`. */
  readonly lapsed: readonly BackendServer[];
  readonly restoredAt: number;
}

interface Listing {
  readonly servers: readonly BackendServer[];
  /** Time at which the store was last reached again. */
  readonly restoredAt: number;
}

/** Follows service discovery through outages of the store. */
export const knownServers = {
  empty(): Roster {
    return {listed: [], lapsed: [], restoredAt: 0};
  },

  /** Takes in a whole listing. */
  applyListing(roster: Roster, listing: Listing, now: number): Roster {
    const {servers, restoredAt} = listing;
    const ids = new Set(servers.map(({id}) => id));
    const addresses = new Set(servers.map(({host, port}) => `${host}:${port}`));
    const lapsed = knownServers
      .all(roster)
      .filter(({state}) => state === 'ready')
      .filter(
        ({id, host, port}) => !ids.has(id) && !addresses.has(`${host}:${port}`),
      );
    const isSettled = now - restoredAt >= RELIST_MS;
    return {listed: servers, lapsed: isSettled ? [] : lapsed, restoredAt};
  },

  /** Drops lapsed servers that have had their time. */
  removeExpired(roster: Roster, now: number): Roster {
    const isDue = now - roster.restoredAt >= RELIST_MS;
    return roster.lapsed.length > 0 && isDue ? {...roster, lapsed: []} : roster;
  },

  all(roster: Roster): readonly BackendServer[] {
    return [...roster.listed, ...roster.lapsed];
  },
};
