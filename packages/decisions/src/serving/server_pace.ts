/** Weight of an observation in the pace. */
const OBSERVATION_WEIGHT = 0.3;

/** Pace above which a server counts as slower than it declares. */
const SLOW_PACE = 1.25;

/** Highest pace; a server that is slower still is left to health checks. */
const PACE_MAX = 8;

/** Time in milliseconds without news in which a pace returns to 1. */
const DECAY_MS = 10_000;

/** Interval in milliseconds at which a slow server's pace is repeated. */
const REPEAT_MS = 3_000;

/** What is known of the speed of one backend server. */
interface ServerPace {
  /** Duration of its work, relative to what it declares. */
  readonly value: number;
  readonly updatedAt: number;
  /** The pace that gateways were last told of, by whichever gateway. */
  readonly told: number;
  readonly toldAt: number;
}

function currentValue(
  {value, updatedAt}: Pick<ServerPace, 'value' | 'updatedAt'>,
  now: number,
): number {
  const left = Math.max(0, 1 - (now - updatedAt) / DECAY_MS);
  return 1 + (value - 1) * left;
}

function moveTowards(
  pace: ServerPace,
  observed: number,
  now: number,
): ServerPace {
  const before = currentValue(pace, now);
  const limited = Math.min(PACE_MAX, Math.max(1, observed));
  const value = before + (limited - before) * OBSERVATION_WEIGHT;
  return {...pace, value, updatedAt: now};
}

/**
 * The speed of a backend server, where 1 is as declared and 2 half as fast. A
 * server may be slow for a while because of its machine or its neighbours.
 */
export const serverPace = {
  initial(now: number): ServerPace {
    return {value: 1, updatedAt: now, told: 1, toldAt: -Infinity};
  },

  /** Records that work took `ratio` times as long as declared. */
  observe(pace: ServerPace, ratio: number, now: number): ServerPace {
    return moveTowards(pace, ratio, now);
  },

  /** Records the pace that another gateway has announced. */
  learn(pace: ServerPace, announced: number, now: number): ServerPace {
    // Not a number, or less than 1, if the sender is faulty.
    if (!(announced >= 1)) return pace;
    const next = moveTowards(pace, announced, now);
    return {...next, told: Math.min(PACE_MAX, announced), toldAt: now};
  },

  /** True if other gateways should be told: it changed, or will decay there. */
  mustTell(pace: ServerPace, now: number): boolean {
    const value = currentValue(pace, now);
    const told = currentValue({value: pace.told, updatedAt: pace.toldAt}, now);
    const change = Math.max(value / told, told / value);
    if (change >= SLOW_PACE) return true;
    return value >= SLOW_PACE && now - pace.toldAt >= REPEAT_MS;
  },

  /** Records that other gateways were told. */
  markTold(pace: ServerPace, now: number): ServerPace {
    return {...pace, told: currentValue(pace, now), toldAt: now};
  },

  /** Factor on the server's times; 1 within the tolerance. */
  factor(pace: ServerPace | undefined, now: number): number {
    if (!pace) return 1;
    const value = currentValue(pace, now);
    return value >= SLOW_PACE ? value : 1;
  },
};
