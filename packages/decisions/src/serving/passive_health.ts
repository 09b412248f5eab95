import type {ServerHealth} from './server_health.js';

/** Weight of the newest outcome in the failure share. */
const SMOOTHING = 0.2;

/** Milliseconds after which half of the failure share is forgotten. */
const HALF_LIFE_MS = 3_000;

/** Milliseconds for which a server is left out that could not be reached. */
const AVOID_MIN_MS = 1_000;

/** Largest number of milliseconds for which a server is left out. */
const AVOID_MAX_MS = 4_000;

/** Milliseconds for which a server is left out that had no KV cache to spare. */
const MEMORY_FULL_MS = 250;

type Outcome = 'answered' | 'failed' | 'unreachable' | 'memory-full';

function decayed(health: ServerHealth, now: number): number {
  const halves = (now - health.updatedAt) / HALF_LIFE_MS;
  return health.failureRate * 0.5 ** halves;
}

function unreachable(health: ServerHealth, now: number): ServerHealth {
  if (health.avoidUntil > now) return health;
  const avoidMs = AVOID_MIN_MS * 2 ** health.consecutiveUnreachable;
  return {
    ...health,
    avoidUntil: now + Math.min(AVOID_MAX_MS, avoidMs),
    consecutiveUnreachable: health.consecutiveUnreachable + 1,
  };
}

/** Health of a backend server as told by its answers, not by its probes. */
export const passiveHealth = {
  initial(now: number): ServerHealth {
    return {
      failureRate: 0,
      updatedAt: now,
      avoidUntil: 0,
      consecutiveUnreachable: 0,
    };
  },

  record(health: ServerHealth, outcome: Outcome, now: number): ServerHealth {
    if (outcome === 'unreachable') return unreachable(health, now);
    if (outcome === 'memory-full') {
      const avoidUntil = Math.max(health.avoidUntil, now + MEMORY_FULL_MS);
      return {...health, avoidUntil};
    }
    const sample = outcome === 'answered' ? 0 : 1;
    const share = decayed(health, now) * (1 - SMOOTHING) + sample * SMOOTHING;
    return {
      failureRate: share,
      updatedAt: now,
      avoidUntil: outcome === 'answered' ? 0 : health.avoidUntil,
      consecutiveUnreachable:
        outcome === 'answered' ? 0 : health.consecutiveUnreachable,
    };
  },

  /** Failure share now; older failures count less. */
  failureRate(health: ServerHealth | undefined, now: number): number {
    return health ? decayed(health, now) : 0;
  },
};
