/** Window in milliseconds in which arrivals of short prompts are counted. */
const SHORT_WINDOW_MS = 500;

/** Window in milliseconds in which prefills of long prompts are averaged. */
const LONG_WINDOW_MS = 2_000;

/** Weight of the newest stream in the mean duration of streams. */
const DURATION_WEIGHT = 1 / 16;

const MS_PER_SECOND = 1_000;

interface LongPrefill {
  readonly at: number;
  readonly prefillMs: number;
}

interface RecentArrivals {
  /** Times in milliseconds at which short prompts were sent. */
  readonly shortStarts: readonly number[];
  /** Prefills of long prompts, and of their parts. */
  readonly longPrefills: readonly LongPrefill[];
  /** Mean duration of a stream with a short prompt; 0 until one has ended. */
  readonly shortStreamMs: number;
}

/**
 * What arrived lately, of all gateways. Running streams follow the arrivals
 * only after the duration of a stream, too late for a change of the mix.
 */
export const recentArrivals = {
  empty(): RecentArrivals {
    return {shortStarts: [], longPrefills: [], shortStreamMs: 0};
  },

  recordShort(recent: RecentArrivals, now: number): RecentArrivals {
    const {shortStarts} = recent;
    const isRecent = (at: number) => now - at < SHORT_WINDOW_MS;
    return {...recent, shortStarts: [...shortStarts.filter(isRecent), now]};
  },

  recordLong(
    recent: RecentArrivals,
    prefillMs: number,
    now: number,
  ): RecentArrivals {
    const longPrefills = [
      ...recent.longPrefills.filter(({at}) => now - at < LONG_WINDOW_MS),
      {at: now, prefillMs},
    ];
    return {...recent, longPrefills};
  },

  /** Records the duration of a stream with a short prompt that has ended. */
  recordShortEnd(recent: RecentArrivals, ms: number): RecentArrivals {
    const mean = recent.shortStreamMs;
    const shortStreamMs =
      mean === 0 ? ms : mean + (ms - mean) * DURATION_WEIGHT;
    return {...recent, shortStreamMs};
  },

  /** Short prompts that arrive a second. */
  shortPerSecond({shortStarts}: RecentArrivals, now: number): number {
    const count = shortStarts.filter(at => now - at < SHORT_WINDOW_MS).length;
    return (count * MS_PER_SECOND) / SHORT_WINDOW_MS;
  },

  /** Streams with short prompts that the arrivals lead to, by Little's law. */
  shortStreams(recent: RecentArrivals, now: number): number {
    const perSecond = recentArrivals.shortPerSecond(recent, now);
    return (perSecond * recent.shortStreamMs) / MS_PER_SECOND;
  },

  /** Mean number of servers that prefilled long prompts lately. */
  longServers({longPrefills}: RecentArrivals, now: number): number {
    return longPrefills
      .filter(({at}) => now - at < LONG_WINDOW_MS)
      .reduce((sum, {prefillMs}) => sum + prefillMs / LONG_WINDOW_MS, 0);
  },
};
