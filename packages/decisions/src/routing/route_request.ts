import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';
import type {AgentView} from './agent_view.js';
import {eligibleAgents} from './eligible_agents.js';
import {selectLongPromptAgents} from './select_long_prompt_agents.js';
import {predictWaitMs} from './predict_wait_ms.js';
import type {RouteQuery} from './route_query.js';
import {ROUTING} from './routing_constants.js';
import type {RoutingPolicy} from './routing_policy.js';

/** Measured mix of prompt lengths, used to route long prompts. */
interface PromptMix {
  /** Share of prompt tokens that are in long prompts, from 0 to 1. */
  readonly longShare: number;
}

type ChooseAgent = (
  views: readonly AgentView[],
  query: RouteQuery,
  mix: PromptMix,
) => AgentView | undefined;

/** Returns the predicted cost in milliseconds of leaving zone or region. */
function distancePenaltyMs(view: AgentView, query: RouteQuery): number {
  if (view.report.zone === query.zone) return 0;
  if (view.report.region === query.region) return ROUTING.ZONE_PENALTY_MS;
  return ROUTING.REGION_PENALTY_MS;
}

/** Returns the predicted milliseconds that a prefix cache hit saves. */
function affinityDiscountMs(view: AgentView, query: RouteQuery): number {
  const rate =
    view.report.prefillRate || ROUTING.ASSUMED_PREFILL_TOKENS_PER_SECOND;
  const prefillMs = (query.promptTokens / rate) * 1_000;
  return prefillMs * ROUTING.AFFINITY_DISCOUNT_SHARE;
}

function costMs(
  view: AgentView,
  query: RouteQuery,
  isPreferred: boolean,
): number {
  const memoryPenaltyMs = view.report.freeTokens < query.totalTokens ? 500 : 0;
  const refusalPenaltyMs = view.avoidUntil > query.now ? 2_000 : 0;
  const waitMs = predictWaitMs(view, query.promptTokens);
  const affinityMs = isPreferred ? -affinityDiscountMs(view, query) : 0;
  return (
    waitMs +
    distancePenaltyMs(view, query) +
    affinityMs +
    memoryPenaltyMs +
    refusalPenaltyMs
  );
}

function findCheapest(
  views: readonly AgentView[],
  costOf: (view: AgentView) => number,
): AgentView | undefined {
  return views
    .map(view => ({view, value: costOf(view)}))
    .reduce<{view: AgentView; value: number} | undefined>(
      (best, next) => (best && best.value <= next.value ? best : next),
      undefined,
    )?.view;
}

function filterByIds(views: readonly AgentView[], ids: readonly string[]) {
  return views.filter(view => ids.includes(view.report.agentId));
}

/** Draws random agents, so that load spreads beyond those with affinity. */
function sampleAgents(views: readonly AgentView[], query: RouteQuery) {
  return Array.from(
    {length: ROUTING.SAMPLED_CANDIDATES},
    () => views[Math.floor(query.random() * views.length)],
  );
}

const chooseByPrediction: ChooseAgent = (views, query, mix) => {
  const ids = views.map(view => view.report.agentId);
  const isLong = query.promptTokens > ROUTING.LONG_PROMPT_TOKENS;
  if (query.kind === 'plain-service') {
    const [first] = rankByRendezvous(query.affinityKey, ids, query.hash);
    return views.find(view => view.report.agentId === first);
  }
  if (isLong) {
    const longPromptIds = selectLongPromptAgents(
      query.target,
      ids,
      mix.longShare,
      query.hash,
    );
    return findCheapest(filterByIds(views, longPromptIds), view =>
      costMs(view, query, false),
    );
  }
  const ranked = rankByRendezvous(query.affinityKey, ids, query.hash);
  const affinityIds = ranked.slice(0, ROUTING.AFFINITY_CANDIDATES);
  const candidates = [
    ...filterByIds(views, affinityIds),
    ...sampleAgents(views, query),
  ];
  return findCheapest(candidates, view =>
    costMs(view, query, view.report.agentId === affinityIds[0]),
  );
};

const CHOOSERS: Record<RoutingPolicy, ChooseAgent> = {
  figfall: chooseByPrediction,
  random: (views, query) => views[Math.floor(query.random() * views.length)],
  'round-robin': (views, query) =>
    views[query.roundRobinCounter % views.length],
  // Breaks ties at random; otherwise the first agents would get every tie.
  'least-outstanding': (views, query) =>
    findCheapest(views, view => view.outstandingCalls + query.random() / 2),
};

/**
 * Chooses the agent to offer a request to next. Returns undefined if no agent
 * can take it.
 */
export function routeRequest(
  views: readonly AgentView[],
  query: RouteQuery,
  mix: PromptMix,
): AgentView | undefined {
  const eligible = eligibleAgents(views, query);
  if (eligible.length === 0) return undefined;
  return CHOOSERS[query.policy](eligible, query, mix);
}
