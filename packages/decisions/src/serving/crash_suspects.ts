import {keepNewest} from '../shared/keep_newest.js';
import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';

/** A request that was never answered and lost its connection to servers. */
interface Suspect {
  /** Servers that closed the connection while they ran the request. */
  readonly serverIds: ReadonlySet<string>;
  /** Time in milliseconds of the last disconnect or trial. */
  readonly updatedAt: number;
}

type Suspects = ReadonlyMap<string, Suspect>;

/** Distinct servers that must disconnect before a request is refused. */
const REFUSE_AFTER_SERVERS = 3;

/** Time in milliseconds for which a request is refused between trials. */
const REFUSE_MS = 30_000;

/** Time in milliseconds after which a suspect expires. */
const SUSPECT_TTL_MS = 600_000;

/** Largest number of suspects kept; the oldest are dropped first. */
const SUSPECTS_MAX = 1_024;

function isRefusable({serverIds}: Suspect): boolean {
  return serverIds.size >= REFUSE_AFTER_SERVERS;
}

/**
 * Requests that may crash any server that runs them, by their fingerprint. Such
 * a request may be repeated many times, at any gateway. Because a lost
 * connection may have other causes, several servers must disconnect in a row,
 * one answer clears a request, and a refused request is tried again later.
 */
export const crashSuspects = {
  empty(): Suspects {
    return new Map();
  },

  /**
   * Records that a server disconnected `heldMs` milliseconds after it received
   * the request. Disconnects of concurrent attempts count once, because they
   * may have a common cause.
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

  /** Clears a request, because a server answered it without a crash. */
  recordAnswer(suspects: Suspects, fingerprint: string): Suspects {
    return suspects.has(fingerprint)
      ? mapWithout(suspects, fingerprint)
      : suspects;
  },

  /** Time in milliseconds for which to refuse a request; 0 if it may run. */
  refusedForMs(suspects: Suspects, fingerprint: string, now: number): number {
    const suspect = suspects.get(fingerprint);
    if (!suspect || !isRefusable(suspect)) return 0;
    return Math.max(0, suspect.updatedAt + REFUSE_MS - now);
  },

  /** Records a trial of a refusable request, and delays the next trial. */
  recordTrial(suspects: Suspects, fingerprint: string, now: number): Suspects {
    const suspect = suspects.get(fingerprint);
    return suspect && isRefusable(suspect)
      ? mapWith(suspects, fingerprint, {...suspect, updatedAt: now})
      : suspects;
  },

  /** Removes suspects without a recent disconnect or trial. */
  removeExpired(suspects: Suspects, now: number): Suspects {
    return new Map(
      [...suspects].filter(
        ([, {updatedAt}]) => now - updatedAt < SUSPECT_TTL_MS,
      ),
    );
  },
};
