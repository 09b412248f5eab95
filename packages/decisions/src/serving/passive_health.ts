import type {ServerHealth} from './server_health.js';

/** Weight of the newest outcome in the moving average. */
const SMOOTHING = 0.2;

/** Time in milliseconds in which the failure rate decays by half. */
const HALF_LIFE_MS = 3_000;

/** First avoidance after a failed connection, in milliseconds; it doubles. */
const AVOID_MIN_MS = 1_000;

/** Longest avoidance in milliseconds after failed connections. */
const AVOID_MAX_MS = 4_000;

/** Avoidance in milliseconds after a server ran out of KV cache. */
const AVOID_MEMORY_FULL_MS = 250;

type Outcome = 'answered' | 'failed' | 'unreachable' | 'memory-full';

function decayedRate(health: ServerHealth, now: number): number {
  const halfLives = (now - health.updatedAt) / HALF_LIFE_MS;
  return health.failureRate * 0.5 ** halfLives;
}

function withUnreachable(health: ServerHealth, now: number): ServerHealth {
  if (health.avoidUntil > now) return health;
  const avoidMs = AVOID_MIN_MS * 2 ** health.consecutiveUnreachable;
  return {
    ...health,
    avoidUntil: now + Math.min(AVOID_MAX_MS, avoidMs),
    consecutiveUnreachable: health.consecutiveUnreachable + 1,
  };
}

/** Passive health checks: health derived from requests, not from probes. */
export const passiveHealth = {
  /** Health of a server without any recorded outcome. */
  initial(now: number): ServerHealth {
    return {
      failureRate: 0,
      updatedAt: now,
      avoidUntil: 0,
      consecutiveUnreachable: 0,
    };
  },

  /**
   * Adds the outcome of a request. `memory-full` delays further requests
   * without raising the failure rate. `unreachable` has no effect while the
   * server is being avoided.
   */
  record(health: ServerHealth, outcome: Outcome, now: number): ServerHealth {
    if (outcome === 'unreachable') return withUnreachable(health, now);
    if (outcome === 'memory-full') {
      const avoidUntil = Math.max(
        health.avoidUntil,
        now + AVOID_MEMORY_FULL_MS,
      );
      return {...health, avoidUntil};
    }
    const sample = outcome === 'answered' ? 0 : 1;
    const failureRate =
      decayedRate(health, now) * (1 - SMOOTHING) + sample * SMOOTHING;
    return {
      failureRate,
      updatedAt: now,
      avoidUntil: outcome === 'answered' ? 0 : health.avoidUntil,
      consecutiveUnreachable:
        outcome === 'answered' ? 0 : health.consecutiveUnreachable,
    };
  },

  /** Failure rate from 0 to 1, decayed up to `now`; 0 for unknown servers. */
  failureRate(health: ServerHealth | undefined, now: number): number {
    return health ? decayedRate(health, now) : 0;
  },
};
