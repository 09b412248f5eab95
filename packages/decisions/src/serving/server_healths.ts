import type {ServerHealth} from './server_health.js';

/** Weight of the newest outcome in the failure share. */
const SMOOTHING = 0.2;

/** Milliseconds after which half of the failure share is forgotten. */
const HALF_LIFE_MS = 3_000;

/** Milliseconds for which a server is left out after a lost connection. */
const AVOID_MS = 1_000;

type Outcome = 'answered' | 'failed' | 'unreachable';

function decayed(health: ServerHealth, now: number): number {
  const halves = (now - health.updatedAt) / HALF_LIFE_MS;
  return health.failureShare * 0.5 ** halves;
}

/** Health of a backend server as told by its answers, not by its probes. */
export const serverHealths = {
  unknown(now: number): ServerHealth {
    return {failureShare: 0, updatedAt: now, avoidUntil: 0};
  },

  record(health: ServerHealth, outcome: Outcome, now: number): ServerHealth {
    const sample = outcome === 'answered' ? 0 : 1;
    const share = decayed(health, now) * (1 - SMOOTHING) + sample * SMOOTHING;
    return {
      failureShare: share,
      updatedAt: now,
      avoidUntil:
        outcome === 'unreachable' ? now + AVOID_MS : health.avoidUntil,
    };
  },

  /** Failure share now; older failures count less. */
  failureShare(health: ServerHealth | undefined, now: number): number {
    return health ? decayed(health, now) : 0;
  },
};
