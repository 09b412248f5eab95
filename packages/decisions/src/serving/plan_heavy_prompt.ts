import type {Candidate} from './candidate.js';
import {placeInParts} from './place_in_parts.js';
import type {PromptPlan} from './prompt_plan.js';
import type {PromptQuery} from './prompt_query.js';

/** Largest number of servers that share one prompt. */
const PARTS_MAX = 16;

/** Fewest servers that are kept for short prompts. */
const QUICK_SERVERS_MIN = 2;

/** Streams with short prompts that one server takes well. */
const QUICK_STREAMS_PER_SERVER = 6;

/** Backlog in milliseconds up to which a server is free. */
const FREE_BACKLOG_MS = 80;

/** Share of the time left until the target that reading may take. */
const TARGET_SHARE = 0.85;

/** Share of the time left until the deadline that late reading may take. */
const LATE_SHARE = 0.4;

/** Share of the free servers that a prompt takes though fewer would do. */
const GENEROUS_SHARE = 0.5;

/** Share of a caller's time after which a late prompt goes first. */
const OVERDUE_SHARE = 0.35;

/** Milliseconds of waiting that the pauses of one short stream are worth. */
const STREAM_WORTH_MS = 400;

/** Ranks of prompts that can't be on time come after all others. */
const LATE_RANK = 1_000_000;

/** Servers that are left when those for short prompts have been set apart. */
function heavyServers(candidates: readonly Candidate[]): readonly Candidate[] {
  const warm = candidates.filter(({isCold}) => !isCold);
  const quickStreams = warm.reduce((sum, {load}) => sum + load.quickStreams, 0);
  const kept = Math.max(
    Math.min(QUICK_SERVERS_MIN, Math.floor(warm.length / 4)),
    Math.ceil(quickStreams / QUICK_STREAMS_PER_SERVER),
  );
  return warm
    .toSorted(
      (a, b) =>
        b.load.quickStreams - a.load.quickStreams ||
        a.load.backlogMs - b.load.backlogMs ||
        (a.server.id < b.server.id ? -1 : 1),
    )
    .slice(Math.min(kept, warm.length - 1));
}

/** Time until the prompt is read if it waits for the best number of servers. */
function earliestMs(servers: readonly Candidate[], totalMs: number): number {
  const backlogs = servers
    .map(({load}) => load.backlogMs)
    .sort((a, b) => a - b)
    .slice(0, PARTS_MAX);
  return Math.min(
    ...backlogs.map((backlogMs, i) => backlogMs + totalMs / (i + 1)),
  );
}

/** Worth of the streams that a long prompt on their server would disturb. */
function streamWorth({streams}: Candidate['load']): number {
  return streams.reduce((sum, {worth}) => sum + worth, 0);
}

function startOn(
  servers: readonly Candidate[],
  query: PromptQuery,
  count: number,
): PromptPlan | undefined {
  const placed = placeInParts(servers, query, Math.min(count, PARTS_MAX));
  return placed && {type: 'start', placement: placed.placement};
}

/**
 * Decides on a prompt that would stall the servers that read it. Load: several
 * such prompts at once, more than all servers can read in time. The shortest
 * that can still be on time goes first; one that can't waits for a calm
 * moment, but not until its caller has left.
 */
export function planHeavyPrompt(
  candidates: readonly Candidate[],
  query: PromptQuery,
  totalMs: number,
): PromptPlan {
  const servers = heavyServers(candidates);
  const {waitedMs, targetMs, patienceMs, bestOtherRank} = query;
  const worthMax = waitedMs / STREAM_WORTH_MS;
  const free = servers.filter(
    ({load}) =>
      load.backlogMs <= FREE_BACKLOG_MS && streamWorth(load) <= worthMax,
  );
  const targetLeftMs = (targetMs - waitedMs) * TARGET_SHARE;
  const patienceLeftMs = patienceMs - waitedMs;
  const soonestMs = earliestMs(servers, totalMs);
  if (soonestMs > patienceLeftMs) {
    return {
      type: 'refuse',
      reason: `The prompt can't be read within ${Math.round(patienceLeftMs)} ms.`,
      retryAfterMs: soonestMs / 2,
    };
  }
  const canBeOnTime = soonestMs <= targetLeftMs;
  const isOverdue = !canBeOnTime && waitedMs > patienceMs * OVERDUE_SHARE;
  const rank = canBeOnTime
    ? totalMs
    : isOverdue
      ? -patienceMs
      : LATE_RANK + totalMs;
  const leftMs = canBeOnTime ? targetLeftMs : patienceLeftMs * LATE_SHARE;
  const enough = Math.ceil(totalMs / Math.max(1, leftMs));
  const mayStart = free.length >= enough && rank <= bestOtherRank;
  const generous = canBeOnTime ? Math.ceil(free.length * GENEROUS_SHARE) : 0;
  const start = mayStart
    ? startOn(free, query, Math.max(enough, generous))
    : undefined;
  return start ?? {type: 'wait', rank};
}
