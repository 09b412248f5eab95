import {mapWith} from '../shared/map_with.js';

/** Time in milliseconds after which a gateway's last report does not count. */
const REPORT_TTL_MS = 2_500;

/** Gateways, lowest in order first, that watch the store for all others. */
const RELAYS = 4;

/** Relays that also send what has changed, so that others need not read it. */
const SENDING_RELAYS = 2;

interface RelayReport {
  readonly isStoreReachable: boolean;
  /** Monotonic time in milliseconds. */
  readonly receivedAt: number;
}

/** Newest report of each relay, by the id of its gateway. */
type StoreRelays = ReadonlyMap<string, RelayReport>;

/** The reports that are recent enough to count. */
function currentReports(relays: StoreRelays, now: number): StoreRelays {
  return new Map(
    [...relays].filter(([, {receivedAt}]) => now - receivedAt < REPORT_TTL_MS),
  );
}

/**
 * Decides which gateways watch the store, and whether another one may rely on
 * them. A store that every gateway watches is called by all of them at each
 * change, so calls would grow with gateways times changes.
 */
export const storeRelays = {
  empty(): StoreRelays {
    return new Map();
  },

  /** True if the gateway with this rank, from 0, watches for the others. */
  isRelay(rank: number): boolean {
    return rank < RELAYS;
  },

  /** True if the gateway with this rank, from 0, also sends the changes. */
  sendsChanges(rank: number): boolean {
    return rank < SENDING_RELAYS;
  },

  /** Records a report and drops those that are too old. */
  recordReport(
    relays: StoreRelays,
    gatewayId: string,
    isStoreReachable: boolean,
    now: number,
  ): StoreRelays {
    const report = {isStoreReachable, receivedAt: now};
    return mapWith(currentReports(relays, now), gatewayId, report);
  },

  /**
   * What a gateway with this rank may rely on: `reachable` if some relay
   * reaches the store, `unreachable` if relays report but none does, or `none`
   * if it has to watch the store itself.
   */
  state(
    relays: StoreRelays,
    rank: number,
    now: number,
  ): 'none' | 'reachable' | 'unreachable' {
    if (storeRelays.isRelay(rank)) return 'none';
    const reports = [...currentReports(relays, now).values()];
    if (reports.length === 0) return 'none';
    return reports.some(({isStoreReachable}) => isStoreReachable)
      ? 'reachable'
      : 'unreachable';
  },
};
