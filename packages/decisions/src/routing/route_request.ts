import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';
import type {AgentView} from './agent_view.js';
import {eligibleAgents} from './eligible_agents.js';
import {selectLongPromptAgents} from './select_long_prompt_agents.js';
import {predictWaitMs} from './predict_wait_ms.js';
import type {RouteQuery} from './route_query.js';
import {ROUTING} from './routing_constants.js';
import type {RoutingPolicy} from './routing_policy.js';

/** Measured load mix that long-prompt routing uses. */
interface RoutingMix {
  /** Share of prompt tokens that are in long prompts, from 0 to 1. */
  readonly longShare: number;
}

type Choice = (
  views: readonly AgentView[],
  query: RouteQuery,
  mix: RoutingMix,
) => AgentView | undefined;

function distancePenalty(view: AgentView, query: RouteQuery): number {
  if (view.report.zone === query.zone) return 0;
  if (view.report.region === query.region) return ROUTING.ZONE_PENALTY_MS;
  return ROUTING.REGION_PENALTY_MS;
}

/** Predicted milliseconds that a prefix cache hit is worth. */
function affinitySlackMs(view: AgentView, query: RouteQuery): number {
  const rate =
    view.report.prefillRate || ROUTING.ASSUMED_PREFILL_TOKENS_PER_SECOND;
  const prefillMs = (query.promptTokens / rate) * 1_000;
  return prefillMs * ROUTING.AFFINITY_DISCOUNT_SHARE;
}

function cost(view: AgentView, query: RouteQuery, isHome: boolean): number {
  const full = view.report.freeTokens < query.totalTokens ? 500 : 0;
  const avoided = view.avoidUntil > query.now ? 2_000 : 0;
  const wait = predictWaitMs(view, query.promptTokens);
  const slack = isHome ? -affinitySlackMs(view, query) : 0;
  return wait + distancePenalty(view, query) + slack + full + avoided;
}

function cheapest(
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

function pickByIds(views: readonly AgentView[], ids: readonly string[]) {
  return views.filter(view => ids.includes(view.report.agentId));
}

/** Random agents beside the affinity candidates keep load spread. */
function sample(views: readonly AgentView[], query: RouteQuery) {
  return Array.from(
    {length: ROUTING.SAMPLED_CANDIDATES},
    () => views[Math.floor(query.random() * views.length)],
  );
}

const chooseByPrediction: Choice = (views, query, mix) => {
  const ids = views.map(view => view.report.agentId);
  const isLong = query.promptTokens > ROUTING.LONG_PROMPT_TOKENS;
  if (query.kind === 'plain-service') {
    const [first] = rankByRendezvous(query.affinityKey, ids, query.hash);
    return views.find(view => view.report.agentId === first);
  }
  if (isLong) {
    const subset = selectLongPromptAgents(
      query.target,
      ids,
      mix.longShare,
      query.hash,
    );
    return cheapest(pickByIds(views, subset), view => cost(view, query, false));
  }
  const ranked = rankByRendezvous(query.affinityKey, ids, query.hash);
  const home = ranked.slice(0, ROUTING.AFFINITY_CANDIDATES);
  const candidates = [...pickByIds(views, home), ...sample(views, query)];
  return cheapest(candidates, view =>
    cost(view, query, view.report.agentId === home[0]),
  );
};

const CHOICES: Record<RoutingPolicy, Choice> = {
  figfall: chooseByPrediction,
  random: (views, query) => views[Math.floor(query.random() * views.length)],
  'round-robin': (views, query) =>
    views[query.roundRobinCounter % views.length],
  // Ties are broken at random; else the first agents would get all the work.
  'least-outstanding': (views, query) =>
    cheapest(views, view => view.outstandingCalls + query.random() / 2),
};

/**
 * Chooses the agent that a request is offered to next, or nothing where no
 * agent can take it.
 */
export function routeRequest(
  views: readonly AgentView[],
  query: RouteQuery,
  mix: RoutingMix,
): AgentView | undefined {
  const eligible = eligibleAgents(views, query);
  if (eligible.length === 0) return undefined;
  return CHOICES[query.policy](eligible, query, mix);
}
