import {
  chooseLeastLoaded,
  createZonePolicy,
  decidePromptZone,
  engineTime,
  planLimitedPrompt,
  planPlainRequest,
} from '@figfall/decisions';
import type {
  Candidate,
  PromptDemand,
  PromptPlan,
  PromptRequest,
  RandomSource,
  ZoneSettings,
} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import {callerPatienceMs} from '../calls/caller_patience_ms.js';

interface PlanContext {
  /** Availability zone of this gateway. */
  readonly zone: string;
  readonly random: RandomSource;
  readonly now: number;
  /** Time in milliseconds of the last event, if the stream has begun. */
  readonly lastEventAt?: number;
  /** Lowest rank among the other waiting prompts. */
  readonly lowestOtherRank: number;
  readonly demand: PromptDemand;
  readonly zoneSettings: ZoneSettings;
  /** False for an availability zone of whose load nothing is known. */
  readonly isZoneKnown: (zone: string) => boolean;
  /** Time for which a plain request takes a slot, if it is known. */
  readonly meanMs: () => number | undefined;
}

/** A plan, and the decision to leave the availability zone or to stay. */
interface ZonedPlan {
  readonly plan: PromptPlan;
  readonly zone?: NonNullable<ReturnType<typeof decidePromptZone>>;
}

/** A plan to send a request to one server. */
function startAt(chosen: Candidate): PromptPlan {
  const serverId = chosen.server.id;
  const placement = {serverId, helpers: [], prefillMs: 0, firstEventMs: 0};
  return {type: 'start', placement};
}

function planPlain(
  candidates: readonly Candidate[],
  {req, route, service, routeLevel}: CallSpec,
  {zone, random, zoneSettings, isZoneKnown, meanMs}: PlanContext,
): ZonedPlan | undefined {
  const policy = createZonePolicy(zoneSettings, service.zoneDelays);
  if (!policy) {
    const chosen = chooseLeastLoaded(candidates, zone, random);
    return chosen && {plan: startAt(chosen)};
  }
  const {chosen, decision} = planPlainRequest(candidates, {
    policy,
    zone,
    bodyBytes: req.body.length,
    latencyTargetMs: route.latencyTargetMs,
    priority: routeLevel,
    meanMs: meanMs() ?? 0,
    isKnown: isZoneKnown,
    random,
  });
  return chosen && {plan: startAt(chosen), zone: decision};
}

/**
 * Plans a request to a model engine or to a plain service. Undefined if no
 * candidate can take it.
 */
export function planRequest(
  candidates: readonly Candidate[],
  spec: CallSpec,
  ctx: PlanContext,
): ZonedPlan | undefined {
  const {req, route, service, deadlineAt, routeLevel} = spec;
  const {zone, random, now, lastEventAt, lowestOtherRank} = ctx;
  const {prompt, arrivedAt} = req;
  const {engine} = service;
  if (!engine || !prompt) return planPlain(candidates, spec, ctx);
  const policy = createZonePolicy(ctx.zoneSettings, service.zoneDelays);
  const zones = policy && {policy, bodyBytes: req.body.length};
  const request: PromptRequest = {
    engine,
    ...prompt,
    latencyTargetMs: Math.max(
      route.latencyTargetMs,
      engineTime.passMs(engine, 0),
    ),
    pauseMs: route.pauseMs,
    priority: routeLevel,
    zone,
    waitedMs: now - arrivedAt,
    sinceLastEventMs: lastEventAt === undefined ? undefined : now - lastEventAt,
    eventTimeoutMs: Math.min(callerPatienceMs(route), deadlineAt - arrivedAt),
    lowestOtherRank,
    demand: ctx.demand,
    random,
    zones,
  };
  const isKnown = ctx.isZoneKnown;
  const decision = decidePromptZone(candidates, request, {isKnown, random});
  const plan = planLimitedPrompt(candidates, {
    ...request,
    zones: zones && {...zones, primaryZone: decision?.zone},
  });
  return plan && {plan, zone: decision};
}
