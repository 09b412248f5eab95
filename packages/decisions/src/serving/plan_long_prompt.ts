import type {Candidate} from './candidate.js';
import {levelWeight} from './level_weight.js';
import {partitionServers} from './partition_servers.js';
import {placeSplitPrompt} from './place_split_prompt.js';
import {PREFILL_SERVERS_MAX} from './prefill_servers_max.js';
import type {PromptPlan} from './prompt_plan.js';
import type {PromptRequest} from './prompt_request.js';
import {targetLeftMs} from './target_left_ms.js';
import {withoutLessUrgent} from './without_less_urgent.js';

/** Largest backlog of a free server, in milliseconds. */
const FREE_BACKLOG_MS = 80;

/** Share of the time until the latency target that prefill may take. */
const TARGET_SHARE = 0.85;

/** Share of the time until the caller gives up that late prefill may take. */
const LATE_SHARE = 0.4;

/** The same for an overdue prompt, whose caller will give up soon. */
const OVERDUE_SHARE = 0.8;

/** Share of the free servers that a prompt uses even if fewer suffice. */
const FREE_SERVERS_SHARE = 0.5;

/** Share of the caller's timeout after which a late prompt is overdue. */
const OVERDUE_AFTER_SHARE = 0.35;

/** Waiting time in milliseconds after which one short stream may stall. */
const WAIT_PER_WORTH_MS = 400;

/** The same for an overdue prompt. */
const OVERDUE_WAIT_PER_WORTH_MS = 150;

/** Offset that ranks late prompts after all that can be on time. */
const LATE_RANK_OFFSET = 1_000_000;

/** Longest time in milliseconds for which a plan to wait holds. */
const HOLD_MAX_MS = 200;

/** Shortest time until prefill ends, over all numbers of servers. */
function soonestPrefillMs(
  servers: readonly Candidate[],
  totalMs: number,
): number {
  const backlogs = servers
    .map(({load}) => load.backlogMs)
    .sort((a, b) => a - b)
    .slice(0, PREFILL_SERVERS_MAX);
  return Math.min(
    ...backlogs.map((backlogMs, i) => backlogMs + totalMs / (i + 1)),
  );
}

/** Total value of the streams that a long prompt would delay on a server. */
function streamWorth({streams}: Candidate['load']): number {
  return streams.reduce((sum, {worth}) => sum + worth, 0);
}

function startOn(
  servers: readonly Candidate[],
  request: PromptRequest,
  count: number,
): PromptPlan | undefined {
  const priced = placeSplitPrompt(
    servers,
    request,
    Math.min(count, PREFILL_SERVERS_MAX),
  );
  return priced && {type: 'start', placement: priced.placement};
}

/**
 * Decides on a prompt whose prefill would stall other streams on its servers.
 * Several such prompts may arrive together, more than all servers can prefill
 * on time. The shortest prompt that can still be on time starts first. A late
 * prompt waits behind these. Once it is overdue, it starts before all others,
 * because its caller will give up soon. A stream that has begun and lost its
 * server is overdue at once, and is not refused. `totalMs` is the prompt's
 * prefill on one idle server, in milliseconds.
 */
export function planLongPrompt(
  candidates: readonly Candidate[],
  request: PromptRequest,
  totalMs: number,
): PromptPlan {
  const counted = withoutLessUrgent(candidates, request);
  const servers = partitionServers(counted, request).longPromptServers;
  const {waitedMs, sinceLastEventMs, eventTimeoutMs, lowestOtherRank} = request;
  const hasBegun = sinceLastEventMs !== undefined;
  const onTimeMs = targetLeftMs(request) * TARGET_SHARE;
  const timeoutLeftMs = eventTimeoutMs - (sinceLastEventMs ?? waitedMs);
  const soonestMs = soonestPrefillMs(servers, totalMs);
  if (soonestMs > timeoutLeftMs && !hasBegun) {
    return {
      type: 'refuse',
      reason: `The prompt can't be prefilled within ${Math.round(timeoutLeftMs)} ms.`,
      retryAfterMs: soonestMs / 2,
    };
  }
  const canBeOnTime = soonestMs <= onTimeMs;
  const isOverdue =
    !canBeOnTime &&
    (hasBegun || waitedMs > eventTimeoutMs * OVERDUE_AFTER_SHARE);
  // The weights of more urgent streams must not starve an overdue prompt.
  const weight = levelWeight(
    request.priority && isOverdue
      ? {...request.priority, level: 0}
      : request.priority,
  );
  const maxWorth =
    (waitedMs * weight) /
    (isOverdue ? OVERDUE_WAIT_PER_WORTH_MS : WAIT_PER_WORTH_MS);
  const free = servers.filter(
    ({load}) =>
      load.prefilling === 0 &&
      load.backlogMs <= FREE_BACKLOG_MS &&
      streamWorth(load) <= maxWorth,
  );
  const rank = canBeOnTime
    ? totalMs
    : isOverdue
      ? -eventTimeoutMs
      : LATE_RANK_OFFSET + totalMs;
  const lateShare = isOverdue ? OVERDUE_SHARE : LATE_SHARE;
  const leftMs = canBeOnTime ? onTimeMs : timeoutLeftMs * lateShare;
  const wanted = Math.ceil(totalMs / Math.max(1, leftMs));
  // A stream that has begun can't come back, so it goes on late if need be.
  const minServers = hasBegun
    ? Math.min(wanted, Math.max(1, free.length))
    : wanted;
  const mayStart = free.length >= minServers && rank <= lowestOtherRank;
  const preferredServers = canBeOnTime
    ? Math.ceil(free.length * FREE_SERVERS_SHARE)
    : 0;
  const start = mayStart
    ? startOn(free, request, Math.max(minServers, preferredServers))
    : undefined;
  if (start) return start;
  const limitsMs = [
    onTimeMs - soonestMs,
    timeoutLeftMs - soonestMs,
    eventTimeoutMs * OVERDUE_AFTER_SHARE - waitedMs,
  ].filter(ms => ms > 0);
  return {
    type: 'wait',
    rank,
    hold: {rank, ms: Math.min(HOLD_MAX_MS, ...limitsMs)},
  };
}
