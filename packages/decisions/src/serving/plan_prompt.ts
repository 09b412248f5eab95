import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import {planLongPrompt} from './plan_long_prompt.js';
import {PREFILL_SERVERS_MAX} from './prefill_servers_max.js';
import {placeSplitPrompt} from './place_split_prompt.js';
import type {PromptPlan} from './prompt_plan.js';
import type {PromptRequest} from './prompt_request.js';

/** Prompt tokens of a part under which a further split gains nothing. */
const PART_TOKENS_MIN = 3_000;

/** Prefill in milliseconds that streams beside it do not notice. */
const LIGHT_PART_MS = 120;

/** Longest prefill in milliseconds of a prompt that is never queued. */
const LIGHT_PROMPT_MS = 200;

/** Backlog in milliseconds up to which a server takes a light part. */
const LIGHT_BACKLOG_MS = 60;

/** The cheapest of all ways to split a prompt over candidates. */
function cheapestSplit(
  candidates: readonly Candidate[],
  query: PromptRequest,
  countMin: number,
) {
  const countMax = Math.min(
    PREFILL_SERVERS_MAX,
    candidates.length,
    Math.max(1, Math.floor(query.promptTokens / PART_TOKENS_MIN)),
  );
  return Array.from({length: countMax}, (_, i) => i + 1)
    .filter(count => count >= countMin)
    .map(count => placeSplitPrompt(candidates, query, count))
    .filter(placement => placement !== undefined)
    .sort((a, b) => a.cost - b.cost)[0]?.placement;
}

/**
 * Decides where and when a prompt is read. Load: short prompts whose streams
 * accept only short pauses, beside long prompts that would stall a whole
 * scheduling pass. Short prompts start at once, on servers that streams share.
 * A prompt whose parts are short enough to pass unnoticed starts at once on
 * many servers. Others start on servers that are kept free of short ones, and
 * wait until there are enough of these.
 */
export function planPrompt(
  candidates: readonly Candidate[],
  query: PromptRequest,
): PromptPlan | undefined {
  const {engine, promptTokens} = query;
  const totalMs = engineTime.prefillMs(engine, promptTokens);
  const isLight = totalMs <= LIGHT_PROMPT_MS;
  const calm = candidates.filter(
    ({load, isCold}) => load.backlogMs <= LIGHT_BACKLOG_MS && !isCold,
  );
  const countMin = isLight ? 1 : Math.ceil(totalMs / LIGHT_PART_MS);
  if (!isLight) {
    const light = cheapestSplit(calm, query, countMin);
    if (light) return {type: 'start', placement: light};
    return planLongPrompt(candidates, query, totalMs);
  }
  const placement = cheapestSplit(candidates, query, 1);
  return placement && {type: 'start', placement};
}
