import {engineTime, chooseLeastLoaded, planPrompt} from '@figfall/decisions';
import type {Candidate, PromptPlan, RandomSource} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import {patienceMs} from '../calls/patience_ms.js';

interface PlanContext {
  /** Availability zone of this entry. */
  readonly zone: string;
  readonly random: RandomSource;
  readonly now: number;
  /** Lowest rank of the other prompts that wait. */
  readonly bestOtherRank: number;
}

/** Decides on a request of any service; nothing where no server is left. */
export function planRequest(
  candidates: readonly Candidate[],
  {req, route, service, deadlineAt}: CallSpec,
  {zone, random, now, bestOtherRank}: PlanContext,
): PromptPlan | undefined {
  const {prompt, arrivedAt} = req;
  const {engine} = service;
  if (!engine || !prompt) {
    const chosen = chooseLeastLoaded(candidates, zone, random);
    if (!chosen) return undefined;
    const serverId = chosen.server.id;
    const placement = {serverId, helpers: [], prefillMs: 0, firstEventMs: 0};
    return {type: 'start', placement};
  }
  return planPrompt(candidates, {
    engine,
    ...prompt,
    latencyTargetMs: Math.max(
      route.latencyTargetMs,
      engineTime.passMs(engine, 0),
    ),
    pauseMs: route.pauseMs,
    zone,
    waitedMs: now - arrivedAt,
    firstEventTimeoutMs: Math.min(patienceMs(route), deadlineAt - arrivedAt),
    lowestOtherRank: bestOtherRank,
  });
}
