import {createRandom} from '../random/create_random.js';
import type {SoakAction} from './soak_action.js';

interface PlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Number of backend servers. */
  readonly servers: number;
  /** Milliseconds from the start at which the configuration changes. */
  readonly configChangesMs: readonly number[];
}

const MEAN_INTERVAL_MS = 2_500;

/** Limits of one silence. */
const MIN_SILENCE_MS = 1_000;
const MAX_SILENCE_MS = 1_600;

/** Most servers that fall silent at once, and most silences in series. */
const MAX_SERVERS = 3;
const MAX_SERIES = 3;

/** Longest time between the silences of a series. */
const MAX_GAP_MS = 400;

/** Longest time between a silence and the change beside which it is put. */
const BESIDE_MS = 300;

/** Share of the silences that are put beside a change of the configuration. */
const BESIDE_SHARE = 0.5;

/**
 * Draws silences of sound servers: several at once and in series, half of them
 * beside changes of the configuration that are planned already.
 */
export function planSilences(options: PlanOptions): readonly SoakAction[] {
  const {seed, durationMs, servers, configChangesMs} = options;
  const random = createRandom(seed);
  const randomBelow = (limit: number) => Math.floor(random() * limit);
  const drawStart = (): number => {
    const anyTime = randomBelow(durationMs);
    const changeMs = configChangesMs[randomBelow(configChangesMs.length)];
    const offsetMs = randomBelow(2 * BESIDE_MS) - BESIDE_MS;
    if (changeMs === undefined || random() >= BESIDE_SHARE) return anyTime;
    return Math.max(0, changeMs + offsetMs);
  };
  const drawSilence = (targetIndex: number, startMs: number): SoakAction => ({
    type: 'server-silence',
    startMs,
    targetIndex,
    durationMs: MIN_SILENCE_MS + randomBelow(MAX_SILENCE_MS - MIN_SILENCE_MS),
  });
  const drawSeries = (targetIndex: number, startMs: number) => {
    const stepMs = MAX_SILENCE_MS + randomBelow(MAX_GAP_MS);
    return Array.from({length: 1 + randomBelow(MAX_SERIES)}, (_, i) =>
      drawSilence(targetIndex, startMs + i * stepMs),
    );
  };
  return Array.from({length: Math.round(durationMs / MEAN_INTERVAL_MS)}, () => {
    const startMs = drawStart();
    const first = randomBelow(servers);
    return Array.from({length: 1 + randomBelow(MAX_SERVERS)}, (_, i) =>
      drawSeries(first + i, startMs),
    );
  })
    .flat(2)
    .filter(({startMs}) => startMs < durationMs);
}
