import type {HashMap} from 'effect/HashMap';
import type {FleetLoadState} from './fleet_load_state.js';
import {hasShortPrefill} from './has_short_prefill.js';
import type {ServerLoad} from './server_load.js';

/** Delay beyond the predicted prefill that is tolerated, in milliseconds. */
const DELAY_TOLERANCE_MS = 200;

/**
 * Scheduling passes by which decoding streams delay the end of a prefill: it
 * waits for half a pass on average, and ends with the whole pass it is in.
 */
const PASSES_TO_JOIN = 1.5;

/** Window in milliseconds in which recently started work is counted. */
const RECENT_WINDOW_MS = 1_000;

const IDLE_LOAD: ServerLoad = {
  running: 0,
  prefilling: 0,
  decoding: 0,
  backlogMs: 0,
  knownBacklogMs: 0,
  usedKvCacheTokens: 0,
  streams: [],
  startedRecently: 0,
  shortPromptStreams: 0,
};

type WorkById =
  FleetLoadState['byServer'] extends HashMap<string, infer Value>
    ? Value
    : never;

/**
 * Estimates the prefill that remains on a server, which prefills one prompt at
 * a time. A server that is later than its known work explains has work that no
 * gateway knows of, or is failing. Its delay so far serves as the estimate.
 */
function estimateBacklog(workById: WorkById, now: number, passMs: number) {
  const all = [...workById.values()];
  const pending = all.filter(work => !work.prefilled);
  if (pending.length === 0) return {backlogMs: 0, knownBacklogMs: 0};
  const isDecoding = all.some(work => work.decodes && work.prefilled);
  const joinMs = isDecoding ? passMs * PASSES_TO_JOIN : 0;
  const totalMs = pending.reduce((sum, work) => sum + work.prefillMs, 0);
  const since = Math.min(...pending.map(work => work.startedAt));
  const delayMs = now - since - totalMs - DELAY_TOLERANCE_MS;
  const leftMs = joinMs + totalMs - (now - since);
  const knownBacklogMs = Math.max(0, Math.min(totalMs, leftMs));
  return {backlogMs: Math.max(knownBacklogMs, delayMs), knownBacklogMs};
}

/**
 * Loads without a prefill, by the work that they summarize, and the time in which
 * they hold. Each placement asks for those of all servers, of which few have
 * changed since the placement before.
 */
const settledLoads = new WeakMap<
  WorkById,
  {readonly load: ServerLoad; readonly from: number; readonly until: number}
>();

/**
 * Summarizes the work on one server; idle if there is none. `passMs` is the duration of a scheduling
 * pass with decoding streams, in milliseconds.
 */
export function summarizeServerLoad(
  workById: WorkById | undefined,
  now: number,
  passMs: number,
): ServerLoad {
  if (!workById) return IDLE_LOAD;
  const settled = settledLoads.get(workById);
  if (settled && now >= settled.from && now < settled.until) {
    return settled.load;
  }
  const all = [...workById.values()];
  const running = all.filter(work => work.decodes);
  const shortPrompts = running.filter(hasShortPrefill);
  const isRecent = (work: {readonly startedAt: number}) =>
    now - work.startedAt < RECENT_WINDOW_MS;
  const decoding = running.filter(work => work.prefilled);
  const summary: ServerLoad = {
    running: running.length,
    prefilling: all.filter(work => !work.prefilled).length,
    decoding: decoding.length,
    ...estimateBacklog(workById, now, passMs),
    usedKvCacheTokens: all.reduce((sum, work) => sum + work.memoryTokens, 0),
    streams: running.map(work => ({
      pauseMs: work.pauseMs,
      worth: work.worth,
      level: work.level,
      isShort: hasShortPrefill(work),
    })),
    startedRecently: all.filter(isRecent).length,
    shortPromptStreams: shortPrompts.length,
  };
  if (summary.prefilling > 0) return summary;
  const startTimes = all.filter(isRecent).map(work => work.startedAt);
  const until = Math.min(...startTimes) + RECENT_WINDOW_MS;
  settledLoads.set(workById, {load: summary, from: now, until});
  return summary;
}
