import {mapWith} from '../shared/map_with.js';

/** Time in milliseconds after which a gateway's last report does not count. */
const REPORT_TTL_MS = 2_500;

/** Gateways, lowest in order first, that watch the store for all others. */
const RELAYS = 4;

/** Relays that also send what has changed, so that others need not read it. */
const SENDING_RELAYS = 2;

/** Longest time in milliseconds between two reports of a relay. */
const REPORT_INTERVAL_MS = 1_000;

/** Milliseconds by which a copy is newer than reported that bring a report early. */
const REPORT_ADVANCE_MS = 800;

/** Monotonic time in milliseconds of each relay's newest report. */
type StoreRelays = ReadonlyMap<string, number>;

/** The reports that are recent enough to count. */
function currentReports(relays: StoreRelays, now: number): StoreRelays {
  return new Map(
    [...relays].filter(([, receivedAt]) => now - receivedAt < REPORT_TTL_MS),
  );
}

/**
 * Decides which gateways watch the store for the others. A store that every
 * gateway watches is called by all of them at each change, so calls would grow
 * with gateways times changes.
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

  /**
   * Share of its usual wait that a relay's watch waits after a listing or a change,
   * with this many gateways in all; undefined if no other gateway follows this one.
   * All relays start, or hear of a change, at the same time; with different waits,
   * one of them soon hears from the store again.
   */
  firstWaitShare(rank: number, gateways: number): number | undefined {
    const hasFollowers = gateways > RELAYS && rank < RELAYS;
    return hasFollowers ? (rank + 1) / RELAYS : undefined;
  },

  /** Records a report and drops those that are too old. */
  recordReport(
    relays: StoreRelays,
    gatewayId: string,
    now: number,
  ): StoreRelays {
    return mapWith(currentReports(relays, now), gatewayId, now);
  },

  /** True if some relay reports, whether or not it reaches the store. */
  areReporting(relays: StoreRelays, now: number): boolean {
    return currentReports(relays, now).size > 0;
  },

  /**
   * True if a relay has to report: its last report is `sinceReportMs` old, and
   * some copy was confirmed `advanceMs` later than that report said.
   */
  isReportDue(sinceReportMs: number, advanceMs: number): boolean {
    return (
      sinceReportMs >= REPORT_INTERVAL_MS || advanceMs >= REPORT_ADVANCE_MS
    );
  },
};
