import {createRandom} from '@figfall/playground';
import type {PlannedRequest} from './planned_request.js';

interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** Number of workspaces. */
  readonly workspaces: number;
  readonly maxTokens: number;
  /** Share of long prompts, from 0 to 1. */
  readonly longShare: number;
}

const SHORT_MEDIAN_TOKENS = 2_500;
const SHORT_SIGMA = 0.8;
const SHORT_MIN_TOKENS = 1_000;
const SHORT_MAX_TOKENS = 18_000;
const LONG_MIN_TOKENS = 100_000;
const LONG_MAX_TOKENS = 300_000;
const MS_PER_SECOND = 1_000;

/** Samples the standard normal distribution by the Box-Muller method. */
function sampleNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/** Draws a length from a log-normal distribution, cut off at both ends. */
function drawShortPromptTokens(random: () => number): number {
  const tokens =
    SHORT_MEDIAN_TOKENS * Math.exp(SHORT_SIGMA * sampleNormal(random));
  return Math.round(
    Math.min(SHORT_MAX_TOKENS, Math.max(SHORT_MIN_TOKENS, tokens)),
  );
}

function drawLongPromptTokens(random: () => number): number {
  return Math.round(
    LONG_MIN_TOKENS + random() ** 2 * (LONG_MAX_TOKENS - LONG_MIN_TOKENS),
  );
}

/** Draws half of the requests from the first two workspaces, the rest from all. */
function drawWorkspace(random: () => number, count: number): number {
  const isLargeWorkspace = random() < 0.5;
  return Math.floor(random() * (isLargeWorkspace ? Math.min(2, count) : count));
}

/** Makes a seeded workload with Poisson arrivals and prompts of mixed lengths. */
export function makeWorkload(options: WorkloadOptions): PlannedRequest[] {
  const random = createRandom(options.seed);
  const meanIntervalMs = MS_PER_SECOND / options.requestsPerSecond;
  const requests: PlannedRequest[] = [];
  let at = 0;
  for (;;) {
    at += -Math.log(1 - random()) * meanIntervalMs;
    if (at >= options.durationMs) return requests;
    const isLong = random() < options.longShare;
    requests.push({
      id: requests.length,
      sendAtMs: at,
      workspace: drawWorkspace(random, options.workspaces),
      promptTokens: isLong
        ? drawLongPromptTokens(random)
        : drawShortPromptTokens(random),
      maxTokens: options.maxTokens,
    });
  }
}
