import type {EngineProfile} from './engine_profile.js';
import {engineTime} from './engine_time.js';

/**
 * Gaps of which the median is taken. Prefills lengthen single gaps, and network
 * jitter lengthens one and shortens the next.
 */
const GAPS = 5;

interface EventGaps {
  readonly lastAt?: number;
  /** Gaps between events in milliseconds, since the last ratio. */
  readonly gaps: readonly number[];
}

/** Compares the time between a stream's events with the declared one. */
export const eventGaps = {
  empty(): EventGaps {
    return {gaps: []};
  },

  /**
   * Records that `count` events arrived. Returns a ratio of 1 if passes take as
   * long as declared with full batches, after every few gaps.
   */
  record(
    {lastAt, gaps}: EventGaps,
    engine: EngineProfile,
    count: number,
    now: number,
  ): {readonly state: EventGaps; readonly ratio?: number} {
    if (lastAt === undefined) return {state: {lastAt: now, gaps}};
    const next = [...gaps, (now - lastAt) / Math.max(1, count)];
    if (next.length < GAPS) return {state: {lastAt: now, gaps: next}};
    const median = next.toSorted((a, b) => a - b)[Math.floor(GAPS / 2)] ?? 0;
    const declaredMs = engineTime.passMs(engine, engine.slots);
    return {
      state: {lastAt: now, gaps: []},
      ratio: declaredMs > 0 ? median / declaredMs : undefined,
    };
  },
};
