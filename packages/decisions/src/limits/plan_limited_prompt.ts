import type {Candidate} from '../serving/candidate.js';
import {placeSplitPrompt} from '../serving/place_split_prompt.js';
import {planPrompt} from '../serving/plan_prompt.js';
import type {PromptPlan} from '../serving/prompt_plan.js';
import type {PromptRequest} from '../serving/prompt_request.js';

/** True if limited servers would have to hold KV cache for the prompt. */
function reservesOnLimited(
  plan: PromptPlan,
  limited: readonly Candidate[],
): boolean {
  if (plan.type !== 'start') return false;
  const ids = new Set(limited.map(({server}) => server.id));
  return plan.placement.helpers.some(
    ({serverId, reservedTokens}) => reservedTokens > 0 && ids.has(serverId),
  );
}

/**
 * Plans a prompt where some candidates have named request rates and have a
 * permit for one request each. Such a server has time for the few requests that
 * it takes, so these are parts of long prompts; short prompts go to the others.
 * It holds no KV cache, which costs further requests. If there are no others, a
 * prompt runs whole on one server. Answers the load of all gateways on the
 * servers of a service.
 */
export function planLimitedPrompt(
  candidates: readonly Candidate[],
  request: PromptRequest,
): PromptPlan | undefined {
  const limited = candidates.filter(({rateLimit}) => rateLimit);
  if (limited.length === 0) return planPrompt(candidates, request);
  const others = candidates.filter(({rateLimit}) => !rateLimit);
  if (others.length === 0) {
    const alone = placeSplitPrompt(limited, request, 1);
    return alone && {type: 'start', placement: alone.placement};
  }
  const plan = planPrompt(others, request);
  const startsAlone =
    plan?.type === 'start' && plan.placement.helpers.length === 0;
  if (startsAlone) return plan;
  const shared = planPrompt(candidates, request);
  return shared && !reservesOnLimited(shared, limited) ? shared : plan;
}
