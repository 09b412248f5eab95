import type {Candidate} from './candidate.js';
import {partitionServers} from './partition_servers.js';
import {PREFILL_SERVERS_MAX} from './prefill_servers_max.js';
import {placeSplitPrompt} from './place_split_prompt.js';
import type {PromptPlan} from './prompt_plan.js';
import type {PromptRequest} from './prompt_request.js';

/** Backlog in milliseconds up to which a server is free. */
const FREE_BACKLOG_MS = 80;

/** Share of the time left until the target that reading may take. */
const TARGET_SHARE = 0.85;

/** Share of the time left until the deadline that late reading may take. */
const LATE_SHARE = 0.4;

/** The same for a prompt that goes first because its caller will leave. */
const OVERDUE_LEFT_SHARE = 0.8;

/** Share of the free servers that a prompt takes though fewer would do. */
const GENEROUS_SHARE = 0.5;

/** Share of a caller's time after which a late prompt goes first. */
const OVERDUE_SHARE = 0.35;

/** Milliseconds of waiting that the pauses of one short stream are worth. */
const STREAM_WORTH_MS = 400;

/** The same for a prompt that goes first because its caller will leave. */
const OVERDUE_WORTH_MS = 150;

/** Ranks of prompts that can't be on time come after all others. */
const LATE_RANK = 1_000_000;

/** Time until the prompt is read if it waits for the best number of servers. */
function earliestMs(servers: readonly Candidate[], totalMs: number): number {
  const backlogs = servers
    .map(({load}) => load.backlogMs)
    .sort((a, b) => a - b)
    .slice(0, PREFILL_SERVERS_MAX);
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
  query: PromptRequest,
  count: number,
): PromptPlan | undefined {
  const placed = placeSplitPrompt(
    servers,
    query,
    Math.min(count, PREFILL_SERVERS_MAX),
  );
  return placed && {type: 'start', placement: placed.placement};
}

/**
 * Decides on a prompt that would stall the servers that read it. Load: several
 * such prompts at once, more than all servers can read in time. The shortest
 * that can still be on time goes first; one that can't waits for a calm
 * moment, but not until its caller has left.
 */
export function planLongPrompt(
  candidates: readonly Candidate[],
  query: PromptRequest,
  totalMs: number,
): PromptPlan {
  const servers = partitionServers(candidates).longPromptServers;
  const {
    waitedMs,
    latencyTargetMs: targetMs,
    firstEventTimeoutMs: patienceMs,
    lowestOtherRank: bestOtherRank,
  } = query;
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
  const worthMax = waitedMs / (isOverdue ? OVERDUE_WORTH_MS : STREAM_WORTH_MS);
  const free = servers.filter(
    ({load}) =>
      load.prefilling === 0 &&
      load.backlogMs <= FREE_BACKLOG_MS &&
      streamWorth(load) <= worthMax,
  );
  const rank = canBeOnTime
    ? totalMs
    : isOverdue
      ? -patienceMs
      : LATE_RANK + totalMs;
  const lateShare = isOverdue ? OVERDUE_LEFT_SHARE : LATE_SHARE;
  const leftMs = canBeOnTime ? targetLeftMs : patienceLeftMs * lateShare;
  const enough = Math.ceil(totalMs / Math.max(1, leftMs));
  const mayStart = free.length >= enough && rank <= bestOtherRank;
  const generous = canBeOnTime ? Math.ceil(free.length * GENEROUS_SHARE) : 0;
  const start = mayStart
    ? startOn(free, query, Math.max(enough, generous))
    : undefined;
  return start ?? {type: 'wait', rank};
}
