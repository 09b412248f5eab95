import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import {placeSplitPrompt} from './place_split_prompt.js';
import {planLongPrompt} from './plan_long_prompt.js';
import {PREFILL_SERVERS_MAX} from './prefill_servers_max.js';
import type {PromptPlan} from './prompt_plan.js';
import type {PromptRequest} from './prompt_request.js';

/** Fewest prompt tokens in a part; a smaller part saves no time. */
const PART_TOKENS_MIN = 3_000;

/** Longest prefill of a part that does not stall streams, in milliseconds. */
const SMALL_PART_MS = 120;

/** Longest prefill of a short prompt, which never waits, in milliseconds. */
const SHORT_PROMPT_MS = 200;

/** Largest backlog of a server that takes a small part, in milliseconds. */
const PART_BACKLOG_MS = 60;

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
  const countMin = isShort ? 1 : Math.ceil(totalMs / SMALL_PART_MS);
  if (!isShort) {
    const split = cheapestSplit(available, request, countMin);
    if (split) return {type: 'start', placement: split};
    return planLongPrompt(candidates, request, totalMs);
  }
  const placement = cheapestSplit(candidates, request, 1);
  return placement && {type: 'start', placement};
}
