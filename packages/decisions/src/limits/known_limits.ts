import type {ServerProcess} from '../serving/server_process.js';
import {mapWith} from '../shared/map_with.js';
import type {KnownLimit} from './known_limit.js';
import type {RateLimitNotice} from './rate_limit_notice.js';

/** Time in milliseconds for which the end of a limit is remembered. */
const ENDED_TTL_MS = 60_000;

/** A response that tells of a server's limit; times in milliseconds. */
interface LimitResponse {
  readonly rateLimit: RateLimitNotice;
  /** When its request was sent. */
  readonly askedAt: number;
  /** When it arrived. */
  readonly heardAt: number;
}

/** Limits by the id of their server. */
type KnownLimits = ReadonlyMap<string, KnownLimit>;

/** True if a response is of an earlier process than the one that is known. */
function isOfEarlierProcess(known: KnownLimit, server: ServerProcess): boolean {
  const {processStartedAt: knownStart} = known;
  const {processStartedAt: start} = server;
  return knownStart !== undefined && start !== undefined && start < knownStart;
}

/**
 * True if a response may replace what is known of its server. Responses on
 * several connections overtake each other. A lower rate counts unless its
 * request was sent before; a higher one, or none, only if its request was sent
 * after the known rate had been heard, as only then it is certainly newer.
 */
function isNewer(
  known: KnownLimit,
  {askedAt}: LimitResponse,
  rate: number,
): boolean {
  const isStricter = rate < (known.perSecond ?? Infinity);
  return askedAt >= (isStricter ? known.askedAt : known.heardAt);
}

/** The request rates that backend servers have named in their responses. */
export const knownLimits = {
  /** The limit of a server's process; undefined if it names none. */
  find(limits: KnownLimits, server: ServerProcess): KnownLimit | undefined {
    const known = limits.get(server.id);
    if (known?.perSecond === undefined) return undefined;
    return known.processStartedAt === server.processStartedAt
      ? known
      : undefined;
  },

  /** Records what a response says; the same map if that changes nothing. */
  record(
    limits: KnownLimits,
    server: ServerProcess,
    response: LimitResponse,
  ): KnownLimits {
    const {rateLimit, askedAt, heardAt} = response;
    if (rateLimit.type === 'unknown') return limits;
    const latest = limits.get(server.id);
    if (latest && isOfEarlierProcess(latest, server)) return limits;
    const {processStartedAt} = server;
    const known =
      latest?.processStartedAt === processStartedAt ? latest : undefined;
    const perSecond =
      rateLimit.type === 'named' ? rateLimit.perSecond : undefined;
    if (!known && perSecond === undefined) return limits;
    if (known && known.perSecond === perSecond) {
      if (perSecond === undefined) return limits;
      return mapWith(limits, server.id, {
        ...known,
        heardAt: Math.max(known.heardAt, heardAt),
        askedAt: Math.max(known.askedAt, askedAt),
      });
    }
    if (known && !isNewer(known, response, perSecond ?? Infinity)) {
      return limits;
    }
    return mapWith(limits, server.id, {
      processStartedAt,
      perSecond,
      knownSince: heardAt,
      heardAt,
      askedAt,
    });
  },

  /** Removes limits that ended long ago, and those of unlisted servers. */
  removeExpired(
    limits: KnownLimits,
    isListed: (serverId: string) => boolean,
    now: number,
  ): KnownLimits {
    const kept = [...limits].filter(
      ([id, {perSecond, heardAt}]) =>
        now - heardAt < ENDED_TTL_MS ||
        (perSecond !== undefined && isListed(id)),
    );
    return kept.length === limits.size ? limits : new Map(kept);
  },
};
