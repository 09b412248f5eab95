import type {RandomSource} from '../shared/random_source.js';

/** Share of the time that a caller has left for which it waits as told. */
const HONOURED_SHARE = 1 / 3;

/** Milliseconds that both ways between caller and gateway may take. */
const TRANSIT_MS = 50;

/** Share of the longest delay over which callers are spread. */
const SPREAD_SHARE = 0.1;

interface ReturnTimesState {
  /** Time in milliseconds at which the last caller was told to return. */
  readonly lastAt: number;
}

interface RejectedCaller {
  /** Milliseconds after which the request can probably be served. */
  readonly expectedMs: number;
  /** Milliseconds that the caller has left. */
  readonly leftMs: number;
  /** Milliseconds between the returns of two callers. */
  readonly spacingMs: number;
}

interface ReturnTime {
  readonly state: ReturnTimesState;
  /** Milliseconds after which the caller should return. */
  readonly retryAfterMs: number;
}

/**
 * When rejected callers should return. Answers the loads of an overload and of
 * a restart of all gateways. Callers return only once and are lost if that is
 * too early, so each is told a time at which it can probably be served, no
 * later than it honours, and after those that were rejected first.
 */
export const returnTimes = {
  empty(): ReturnTimesState {
    return {lastAt: 0};
  },

  /** Chooses the time for one more caller. */
  next(
    {lastAt}: ReturnTimesState,
    {expectedMs, leftMs, spacingMs}: RejectedCaller,
    random: RandomSource,
    now: number,
  ): ReturnTime {
    const longestMs = Math.max(0, leftMs * HONOURED_SHARE - TRANSIT_MS);
    const spreadFromMs = longestMs * (1 - SPREAD_SHARE);
    const soonestMs = Math.min(expectedMs, spreadFromMs);
    const inOrderMs = Math.max(soonestMs, lastAt + spacingMs - now);
    if (inOrderMs <= longestMs) {
      return {state: {lastAt: now + inOrderMs}, retryAfterMs: inOrderMs};
    }
    // More callers than places in the order: the rest share its whole span.
    const retryAfterMs = longestMs * (1 - SPREAD_SHARE * random());
    return {state: {lastAt}, retryAfterMs};
  },
};
