import {createRandom} from '../random/create_random.js';
import type {SoakAction} from './soak_action.js';

interface PlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Number of backend servers. */
  readonly servers: number;
}

/** Shares of a run's length: when limits start, and how long they last. */
const START_SHARE_MAX = 0.2;
const DURATION_SHARE = 0.8;

/** Most servers that name a limit in one run. */
const MAX_SERVERS = 4;

/** Requests a second that servers name. */
const LIMITS = [0.5, 1, 1.1, 3, 8];

/** Draws servers that name request rates, each one once in a run. */
export function planLimits({
  seed,
  durationMs,
  servers,
}: PlanOptions): readonly SoakAction[] {
  const random = createRandom(seed);
  const randomBelow = (limit: number) => Math.floor(random() * limit);
  const first = randomBelow(servers);
  return Array.from({length: 1 + randomBelow(MAX_SERVERS)}, (_, i) => ({
    type: 'server-limit',
    startMs: randomBelow(durationMs * START_SHARE_MAX),
    targetIndex: (first + i) % servers,
    durationMs: durationMs * DURATION_SHARE,
    perSecond: LIMITS[randomBelow(LIMITS.length)] ?? 1,
  }));
}
