import type {Candidate} from '../serving/candidate.js';
import {placeSplitPrompt} from '../serving/place_split_prompt.js';
import {planPrompt} from '../serving/plan_prompt.js';
import type {PromptPlan} from '../serving/prompt_plan.js';
import type {PromptRequest} from '../serving/prompt_request.js';

/** True if a prompt would start on a single server. */
function startsAlone(
  plan: PromptPlan | undefined,
): plan is Extract<PromptPlan, {type: 'start'}> {
  return plan?.type === 'start' && plan.placement.helpers.length === 0;
}

/**
 * Plans a prompt where some candidates have named request rates. Each part of a
 * split prompt is a request to its server, so such a server takes whole prompts
 * only: those that would start on a single server anyway, if it is no later
 * there, or any prompt if there is no other server. Answers the load of all
 * gateways on the servers of a service.
 */
export function planLimitedPrompt(
  candidates: readonly Candidate[],
  request: PromptRequest,
): PromptPlan | undefined {
  const limited = candidates.filter(({rateLimit}) => rateLimit);
  if (limited.length === 0) return planPrompt(candidates, request);
  const others = candidates.filter(({rateLimit}) => !rateLimit);
  const priced = placeSplitPrompt(limited, request, 1);
  const alone: PromptPlan | undefined = priced && {
    type: 'start',
    placement: priced.placement,
  };
  if (others.length === 0) return alone;
  const plan = planPrompt(others, request);
  if (!startsAlone(plan) || !startsAlone(alone)) return plan;
  return alone.placement.firstEventMs <= plan.placement.firstEventMs
    ? alone
    : plan;
}
