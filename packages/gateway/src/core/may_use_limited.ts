import type {PromptPlan} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';

/**
 * True if requests like this one use limited servers beside others. Prompts that
 * start on a single server at once do not.
 */
export function mayUseLimited({req}: CallSpec, plan?: PromptPlan): boolean {
  if (!req.prompt || plan?.type !== 'start') return true;
  return plan.placement.helpers.length > 0;
}
