import {createRandom} from '@figfall/playground';
import type {PlannedRequest} from './planned_request.js';

interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  readonly workspaces: number;
  readonly maxTokens: number;
  /** Share of prompts that are long. */
  readonly longShare: number;
}

const MEDIAN_TOKENS = 2_500;
const SIGMA = 0.8;
const SHORT_MIN = 1_000;
const SHORT_MAX = 18_000;
const LONG_MIN = 100_000;
const LONG_MAX = 300_000;
const MS_PER_SECOND = 1_000;

/** A normal number by the method of Box and Muller. */
function normal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

function shortTokens(random: () => number): number {
  const tokens = MEDIAN_TOKENS * Math.exp(SIGMA * normal(random));
  return Math.round(Math.min(SHORT_MAX, Math.max(SHORT_MIN, tokens)));
}

function longTokens(random: () => number): number {
  return Math.round(LONG_MIN + random() ** 2 * (LONG_MAX - LONG_MIN));
}

/** Half of the requests come from the first two workspaces. */
function pickWorkspace(random: () => number, count: number): number {
  const isLarge = random() < 0.5;
  return Math.floor(random() * (isLarge ? Math.min(2, count) : count));
}

/** Makes a seeded workload with Poisson arrivals and unlike lengths. */
export function makeWorkload(options: WorkloadOptions): PlannedRequest[] {
  const random = createRandom(options.seed);
  const meanMs = MS_PER_SECOND / options.requestsPerSecond;
  const requests: PlannedRequest[] = [];
  let at = 0;
  for (;;) {
    at += -Math.log(1 - random()) * meanMs;
    if (at >= options.durationMs) return requests;
    const isLong = random() < options.longShare;
    requests.push({
      id: requests.length,
      at,
      workspace: pickWorkspace(random, options.workspaces),
      promptTokens: isLong ? longTokens(random) : shortTokens(random),
      maxTokens: options.maxTokens,
    });
  }
}
