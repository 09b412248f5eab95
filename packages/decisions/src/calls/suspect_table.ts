import {mapNewest} from '../shared/map_newest.js';
import {mapWith} from '../shared/map_with.js';

/** What is known of a request that was in flight when an engine crashed. */
interface Suspect {
  readonly fingerprint: string;
  /** Engine crashes that the request may have caused. */
  readonly crashes: number;
  readonly expiresAt: number;
}

type Table = ReadonlyMap<string, Suspect>;

/** Crashes after which a request is refused everywhere. */
const CONVICTION_CRASHES = 2;

/** Milliseconds for which a suspect is remembered. */
const SUSPECT_TTL_MS = 600_000;

/** Largest number of suspects a node remembers. */
const SUSPECTS_MAX = 4_096;

/** Fingerprints of requests that may crash the engine that runs them. */
export const suspectTable = {
  empty(): Table {
    return new Map();
  },

  /** Records that a request had `crashes` engine crashes so far. */
  record(
    table: Table,
    fingerprint: string,
    crashes: number,
    now: number,
  ): Table {
    const known = table.get(fingerprint)?.crashes ?? 0;
    const next = mapWith(table, fingerprint, {
      fingerprint,
      crashes: Math.max(known, crashes),
      expiresAt: now + SUSPECT_TTL_MS,
    });
    return mapNewest(next, SUSPECTS_MAX);
  },

  /** Returns the crashes recorded for a request. */
  crashCount(table: Table, fingerprint: string, now: number): number {
    const suspect = table.get(fingerprint);
    return suspect && suspect.expiresAt > now ? suspect.crashes : 0;
  },

  /** True where a request is refused everywhere. */
  isBlocked(table: Table, fingerprint: string, now: number): boolean {
    return (
      suspectTable.crashCount(table, fingerprint, now) >= CONVICTION_CRASHES
    );
  },
};
