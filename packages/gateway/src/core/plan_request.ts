import {engineTime, placePlain, planPrompt} from '@figfall/decisions';
import type {Candidate, PromptPlan, RandomSource} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import {callerPatienceMs} from '../calls/caller_patience_ms.js';

interface PlanContext {
  /** Availability zone of this gateway. */
  readonly zone: string;
  readonly random: RandomSource;
  readonly now: number;
  /** Lowest rank among the other waiting prompts. */
  readonly bestOtherRank: number;
}

/**
 * Plans a request of a model engine or of a plain service. Undefined if no
 * candidate can take it.
 */
export function planRequest(
  candidates: readonly Candidate[],
  {req, route, service, deadlineAt}: CallSpec,
  {zone, random, now, bestOtherRank}: PlanContext,
): PromptPlan | undefined {
  const {prompt, arrivedAt} = req;
  const {engine} = service;
  if (!engine || !prompt) {
    const chosen = placePlain(candidates, zone, random);
    if (!chosen) return undefined;
    const serverId = chosen.server.id;
    const placement = {serverId, parts: [], prefillMs: 0, firstEventMs: 0};
    return {type: 'start', placement};
  }
  return planPrompt(candidates, {
    engine,
    ...prompt,
    targetMs: Math.max(route.targetMs, engineTime.passMs(engine, 0)),
    pauseMs: route.pauseMs,
    zone,
    waitedMs: now - arrivedAt,
    patienceMs: Math.min(callerPatienceMs(route), deadlineAt - arrivedAt),
    bestOtherRank,
  });
}
