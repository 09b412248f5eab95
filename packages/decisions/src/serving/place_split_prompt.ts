import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import {placementCosts} from './placement_costs.js';
import type {PromptPlacement} from './prompt_placement.js';
import type {PromptRequest} from './prompt_request.js';

/** Share of the KV cache that placement fills. */
const MEMORY_SHARE = 0.95;

/** A placement and what it costs, in worths of a short answer. */
interface PricedPlacement {
  readonly placement: PromptPlacement;
  readonly cost: number;
}

function cheapest(
  candidates: readonly Candidate[],
  costOf: (candidate: Candidate) => number,
) {
  return candidates
    .map(candidate => ({candidate, cost: costOf(candidate)}))
    .sort((a, b) => a.cost - b.cost);
}

function freeTokens({load}: Candidate, query: PromptRequest): number {
  return query.engine.kvCacheTokens * MEMORY_SHARE - load.usedKvCacheTokens;
}

/** Servers that can hold a whole prompt; where none can, the emptiest one. */
function firstServers(candidates: readonly Candidate[], query: PromptRequest) {
  const tokens = query.promptTokens + query.outputTokens;
  const holders = candidates.filter(
    candidate => freeTokens(candidate, query) >= tokens,
  );
  if (holders.length > 0) return holders;
  return candidates
    .toSorted((a, b) => freeTokens(b, query) - freeTokens(a, query))
    .slice(0, 1);
}

/** KV cache that each helper reserves so that the first server can hold the rest. */
function reservations(
  first: Candidate,
  helpers: readonly Candidate[],
  query: PromptRequest,
): readonly number[] | undefined {
  const needed =
    query.promptTokens + query.outputTokens - freeTokens(first, query);
  if (needed <= 0) return helpers.map(() => 0);
  let left = needed;
  const taken = helpers.map(helper => {
    const tokens = Math.min(left, Math.max(0, freeTokens(helper, query)));
    left -= tokens;
    return Math.ceil(tokens);
  });
  return left <= 0 ? taken : undefined;
}

/**
 * Places a prompt on `count` of the candidates, each of which reads an even
 * part. Nothing is returned where these can't hold it.
 */
export function placeSplitPrompt(
  candidates: readonly Candidate[],
  query: PromptRequest,
  count: number,
): PricedPlacement | undefined {
  const prefillMs =
    engineTime.prefillMs(query.engine, query.promptTokens) / count;
  const [first] = cheapest(firstServers(candidates, query), candidate =>
    placementCosts.first(candidate, query, prefillMs),
  );
  if (!first) return undefined;
  const others = candidates.filter(
    candidate => candidate !== first.candidate && !candidate.isCold,
  );
  const helpers = cheapest(others, candidate =>
    placementCosts.part(candidate, query, prefillMs),
  ).slice(0, count - 1);
  if (helpers.length < count - 1) return undefined;
  const servers = helpers.map(({candidate}) => candidate);
  const reserved = reservations(first.candidate, servers, query);
  if (!reserved) return undefined;
  const firstEventMs = Math.max(
    ...[first.candidate, ...servers].map(candidate =>
      placementCosts.readyMs(candidate, query, prefillMs),
    ),
  );
  return {
    placement: {
      serverId: first.candidate.server.id,
      helpers: servers.map(({server}, i) => ({
        serverId: server.id,
        reserveTokens: reserved[i] ?? 0,
      })),
      prefillMs,
      firstEventMs,
    },
    cost:
      first.cost +
      helpers.reduce((sum, {cost}) => sum + cost, 0) +
      placementCosts.lateness(query, firstEventMs),
  };
}
