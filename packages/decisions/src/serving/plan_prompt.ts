import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import {placeSplitPrompt} from './place_split_prompt.js';
import {placeLessUrgent} from './place_less_urgent.js';
import {planLongPrompt} from './plan_long_prompt.js';
import {PREFILL_SERVERS_MAX} from './prefill_servers_max.js';
import type {PromptPlan} from './prompt_plan.js';
import type {PromptRequest} from './prompt_request.js';
import {SHORT_PROMPT_MS} from './short_prompt_ms.js';
import {urgentPartMs} from './urgent_part_ms.js';

/** Fewest prompt tokens in a part; a smaller part saves no time. */
const PART_TOKENS_MIN = 3_000;

/** Longest prefill of a part that does not stall streams, in milliseconds. */
const SMALL_PART_MS = 120;

/** Largest backlog of a server that takes a small part, in milliseconds. */
const PART_BACKLOG_MS = 60;

/**
 * Share of the latency target for which a prompt that can be split gives way to
 * more urgent ones; it can still be on time afterwards.
 */
const GIVE_WAY_TARGET_SHARE = 0.25;

/** A prompt that can be split waits behind none but more urgent ones. */
const SPLITTABLE_HOLD_RANK = -Number.MAX_VALUE;

/** True if prompts of a more urgent level may come to the same servers. */
function isLessUrgent({priority}: PromptRequest): boolean {
  return (priority?.level ?? 0) > 0;
}

/** Cheapest placement of a prompt on at least `countMin` servers. */
function cheapestSplit(
  candidates: readonly Candidate[],
  request: PromptRequest,
  countMin: number,
) {
  const countMax = Math.min(
    PREFILL_SERVERS_MAX,
    candidates.length,
    Math.max(1, Math.floor(request.promptTokens / PART_TOKENS_MIN)),
  );
  return Array.from({length: countMax}, (_, i) => i + 1)
    .filter(count => count >= countMin)
    .map(count => placeSplitPrompt(candidates, request, count))
    .filter(placement => placement !== undefined)
    .sort((a, b) => a.cost - b.cost)[0]?.placement;
}

/**
 * Decides where and when a prompt is prefilled. The workload mixes short
 * prompts, whose streams accept only short pauses, with long prompts that would
 * stall a whole scheduling pass. Short prompts start immediately, on servers
 * that run several streams. A prompt that can be split into parts too small to
 * stall streams starts immediately, on many servers. Other prompts wait for
 * enough of the servers that are not set aside for short prompts. Returns
 * undefined if no candidate can take the prompt.
 */
export function planPrompt(
  candidates: readonly Candidate[],
  request: PromptRequest,
): PromptPlan | undefined {
  const {engine, promptTokens} = request;
  const totalMs = engineTime.prefillMs(engine, promptTokens);
  const isShort = totalMs <= SHORT_PROMPT_MS;
  const available = candidates.filter(
    ({load, isCold}) => load.backlogMs <= PART_BACKLOG_MS && !isCold,
  );
  const giveWayMs =
    request.latencyTargetMs * GIVE_WAY_TARGET_SHARE - request.waitedMs;
  const givesWay = giveWayMs > 0;
  const smallPartMs = Math.min(
    SMALL_PART_MS,
    givesWay ? urgentPartMs(candidates, request) : Infinity,
  );
  const countMin = isShort ? 1 : Math.ceil(totalMs / smallPartMs);
  const isSplittable = totalMs <= SMALL_PART_MS * PREFILL_SERVERS_MAX;
  const mustWait =
    givesWay &&
    !isShort &&
    isLessUrgent(request) &&
    request.lowestOtherRank === -Infinity;
  const apart =
    isSplittable && !mustWait && isLessUrgent(request)
      ? placeLessUrgent(candidates, request)
      : undefined;
  if (apart) return {type: 'start', placement: apart};
  if (!isShort) {
    const split = mustWait
      ? undefined
      : cheapestSplit(available, request, countMin);
    if (split) return {type: 'start', placement: split};
    const plan = planLongPrompt(candidates, request, totalMs);
    if (plan.type !== 'wait' || !isSplittable) return plan;
    const ms = Math.max(0, Math.min(plan.hold.ms, giveWayMs));
    return {...plan, hold: {rank: SPLITTABLE_HOLD_RANK, ms}};
  }
  const placement = cheapestSplit(candidates, request, 1);
  return placement && {type: 'start', placement};
}
