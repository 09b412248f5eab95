import {withNewest} from '../shared/with_newest.js';

/** A request that was running when an engine crashed. */
interface Suspect {
  readonly fingerprint: string;
  /** Number of engine crashes that the request may have caused. */
  readonly crashes: number;
  /** Time in milliseconds at which the suspect expires. */
  readonly expiresAt: number;
}

type SuspectTable = ReadonlyMap<string, Suspect>;

/** Engine crashes after which all nodes refuse a request. */
const CRASHES_MAX = 2;

/** Milliseconds for which a suspect is kept after its last crash report. */
const SUSPECT_TTL_MS = 600_000;

/** Largest number of suspects that a node keeps; the oldest are dropped. */
const SUSPECTS_MAX = 4_096;

/** Table of requests, by fingerprint, that may have crashed engines. */
export const suspectTable = {
  empty(): SuspectTable {
    return new Map();
  },

  /**
   * Records the total number of engine crashes of a request. A lower number
   * than the recorded one changes only the time of expiry.
   */
  record(
    table: SuspectTable,
    fingerprint: string,
    crashes: number,
    now: number,
  ): SuspectTable {
    const known = table.get(fingerprint)?.crashes ?? 0;
    const suspect = {
      fingerprint,
      crashes: Math.max(known, crashes),
      expiresAt: now + SUSPECT_TTL_MS,
    };
    return withNewest(table, fingerprint, suspect, SUSPECTS_MAX);
  },

  /** Returns the crashes of a request; 0 if it is unknown or has expired. */
  crashCount(table: SuspectTable, fingerprint: string, now: number): number {
    const suspect = table.get(fingerprint);
    return suspect && suspect.expiresAt > now ? suspect.crashes : 0;
  },

  /** Returns true if a request must be refused by all nodes. */
  isBlocked(table: SuspectTable, fingerprint: string, now: number): boolean {
    return suspectTable.crashCount(table, fingerprint, now) >= CRASHES_MAX;
  },
};
