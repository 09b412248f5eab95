import type {RelayedCopyBounds} from './relayed_copy_bounds.js';

/** What a gateway knows through others of its copy of a kind of objects. */
interface RelayedCopy {
  /** Monotonic time in milliseconds at which the copy was last known whole. */
  readonly wholeAt: number;
  /** Monotonic time in milliseconds at which the store last answered a relay. */
  readonly answeredAt: number;
  /** Time in milliseconds of the next own call in an outage. */
  readonly nextProbeAt: number;
}

/** How a gateway stands that may rely on others. */
interface Standing {
  /** True if changes were missed. */
  readonly isBehind: boolean;
  /** True if this gateway's last call to the store and its retry failed. */
  readonly isOutage: boolean;
  /** True if relays report, so that they would tell of the store's return. */
  readonly areReporting: boolean;
}

/**
 * Decides when a gateway that others watch the store for has to read it. What
 * they say counts from the moment at which the store answered them: a store that
 * does not answer looks like one in which nothing changes.
 */
export const relayedCopy = {
  empty(): RelayedCopy {
    return {
      wholeAt: -Infinity,
      answeredAt: -Infinity,
      nextProbeAt: -Infinity,
    };
  },

  /**
   * Records that the store answered a relay at a time. `isWhole` is true if this
   * gateway's copy has all that the relay read.
   */
  recordAnswer(copy: RelayedCopy, at: number, isWhole: boolean): RelayedCopy {
    const answeredAt = Math.max(copy.answeredAt, at);
    const wholeAt = isWhole ? Math.max(copy.wholeAt, at) : copy.wholeAt;
    return {...copy, answeredAt, wholeAt};
  },

  /** Records an own call to the store. */
  recordCall(
    copy: RelayedCopy,
    {probeMs}: RelayedCopyBounds,
    now: number,
  ): RelayedCopy {
    return {...copy, nextProbeAt: now + probeMs};
  },

  /** Milliseconds for which the copy may still be relied on; 0 if not at all. */
  reliableForMs(
    {wholeAt}: RelayedCopy,
    {maxAgeMs}: RelayedCopyBounds,
    now: number,
  ): number {
    return Math.max(0, wholeAt + maxAgeMs - now);
  },

  /** Milliseconds until the store has to be read; 0 if it is due. */
  readInMs(
    copy: RelayedCopy,
    bounds: RelayedCopyBounds,
    standing: Standing,
    now: number,
  ): number {
    const {isBehind, isOutage, areReporting} = standing;
    const reliableForMs = relayedCopy.reliableForMs(copy, bounds, now);
    if (reliableForMs > 0) return isBehind ? 0 : reliableForMs;
    const isAnswering = now - copy.answeredAt < bounds.maxAgeMs;
    const isProbing = isOutage && areReporting && !isAnswering;
    return isProbing ? Math.max(0, copy.nextProbeAt - now) : 0;
  },
};
