import {keepNewest} from '../shared/keep_newest.js';
import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';

/** A request that broke off at backend servers and was never answered. */
interface Suspect {
  /** Servers that closed the connection while they ran it. */
  readonly serverIds: ReadonlySet<string>;
  /** Time in milliseconds of the last break, or of the last trial. */
  readonly updatedAt: number;
}

type Suspects = ReadonlyMap<string, Suspect>;

/** Servers at which a request must break off before it is refused. */
const SERVERS_MAX = 3;

/** Milliseconds for which it is refused until it is tried once more. */
const REFUSE_MS = 30_000;

/** Milliseconds after which a suspect is forgotten. */
const FORGET_MS = 600_000;

/** Largest number of suspects that are remembered. */
const SUSPECTS_MAX = 1_024;

function isProven({serverIds}: Suspect): boolean {
  return serverIds.size >= SERVERS_MAX;
}

/**
 * Requests that may crash whichever server runs them, by their fingerprint.
 * Load: one such request that comes again and again at any entry. A lost
 * connection may have other causes, so several servers must break off in a
 * row, one answer clears a request, and a refused one is tried again later.
 */
export const crashSuspects = {
  empty(): Suspects {
    return new Map();
  },

  /**
   * Notes that a server broke off after it had the request for `heldMs`.
   * Breaks of attempts that ran at the same time count as one, as they may
   * have one cause.
   */
  recordDisconnect(
    suspects: Suspects,
    fingerprint: string,
    {serverId, heldMs}: {readonly serverId: string; readonly heldMs: number},
    now: number,
  ): Suspects {
    const known = suspects.get(fingerprint);
    if (known && now - heldMs < known.updatedAt) return suspects;
    const serverIds = new Set([...(known?.serverIds ?? []), serverId]);
    const next = mapWith(suspects, fingerprint, {serverIds, updatedAt: now});
    return keepNewest(next, SUSPECTS_MAX);
  },

  /** Notes that a server answered the request, so it crashes none. */
  recordAnswer(suspects: Suspects, fingerprint: string): Suspects {
    return suspects.has(fingerprint)
      ? mapWithout(suspects, fingerprint)
      : suspects;
  },

  /** Milliseconds for which a request is still refused; 0 if it may run. */
  refusedForMs(suspects: Suspects, fingerprint: string, now: number): number {
    const suspect = suspects.get(fingerprint);
    if (!suspect || !isProven(suspect)) return 0;
    return Math.max(0, suspect.updatedAt + REFUSE_MS - now);
  },

  /** Notes that a request is tried, so that no other trial follows soon. */
  recordTrial(suspects: Suspects, fingerprint: string, now: number): Suspects {
    const suspect = suspects.get(fingerprint);
    return suspect && isProven(suspect)
      ? mapWith(suspects, fingerprint, {...suspect, updatedAt: now})
      : suspects;
  },

  /** Forgets suspects that have not come again for long. */
  removeExpired(suspects: Suspects, now: number): Suspects {
    return new Map(
      [...suspects].filter(([, {updatedAt}]) => now - updatedAt < FORGET_MS),
    );
  },
};
