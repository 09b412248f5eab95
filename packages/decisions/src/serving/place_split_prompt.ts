import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import {placementCosts} from './placement_costs.js';
import type {PromptPlacement} from './prompt_placement.js';
import type {PromptRequest} from './prompt_request.js';

/** Share of the KV cache that placement may fill. */
const KV_CACHE_SHARE = 0.95;

/** A placement and its cost, relative to the value of a short response. */
interface PricedPlacement {
  readonly placement: PromptPlacement;
  readonly cost: number;
}

/** A candidate and the cost of using it. */
interface PricedCandidate {
  readonly candidate: Candidate;
  readonly cost: number;
}

function priceAll(
  candidates: readonly Candidate[],
  costOf: (candidate: Candidate) => number,
): PricedCandidate[] {
  return candidates.map(candidate => ({candidate, cost: costOf(candidate)}));
}

/**
 * The cheapest primary, or any of its availability zone that costs about as
 * much. Gateways that decide within one message's delay know the same load, and
 * would otherwise all choose the same server.
 */
function pickPrimary(
  priced: readonly PricedCandidate[],
  request: PromptRequest,
): PricedCandidate | undefined {
  const {random} = request;
  const [best] = priced.toSorted((a, b) => a.cost - b.cost);
  if (!best || !random) return best;
  const tolerance = placementCosts.primaryTolerance(request);
  const near = priced.filter(
    ({candidate, cost}) =>
      cost - best.cost <= tolerance &&
      candidate.server.zone === best.candidate.server.zone,
  );
  return near[Math.floor(random() * near.length)] ?? best;
}

/** The `count` cheapest helpers, in random order where costs are about equal. */
function pickHelpers(
  priced: readonly PricedCandidate[],
  {random = () => 0, zones}: PromptRequest,
  count: number,
  zone: string,
): readonly PricedCandidate[] {
  const {helperTolerance} = placementCosts;
  // Near-ties must not leave the zone, whose cost may be below the difference.
  const isNear = ({candidate}: PricedCandidate) =>
    !zones || candidate.server.zone === zone;
  return priced
    .map(helper => {
      const tieBreaker = random() + (isNear(helper) ? 0 : 1);
      return {helper, key: helper.cost + tieBreaker * helperTolerance};
    })
    .sort((a, b) => a.key - b.key)
    .slice(0, count)
    .map(({helper}) => helper);
}

function freeTokens({load}: Candidate, request: PromptRequest): number {
  return request.engine.kvCacheTokens * KV_CACHE_SHARE - load.usedKvCacheTokens;
}

/** Servers that can hold the whole prompt, or else the emptiest one. */
function primaryCandidates(
  candidates: readonly Candidate[],
  request: PromptRequest,
) {
  const tokens = request.promptTokens + request.outputTokens;
  const fitting = candidates.filter(
    candidate => freeTokens(candidate, request) >= tokens,
  );
  const inZone = fitting.filter(
    ({server}) => server.zone === request.zones?.primaryZone,
  );
  if (inZone.length > 0) return inZone;
  if (fitting.length > 0) return fitting;
  return candidates
    .toSorted((a, b) => freeTokens(b, request) - freeTokens(a, request))
    .slice(0, 1);
}

/**
 * KV cache in tokens that each helper reserves so that the primary can hold the
 * rest. Undefined if all of them together can't hold the prompt.
 */
function reservedTokens(
  primary: Candidate,
  helpers: readonly Candidate[],
  request: PromptRequest,
): readonly number[] | undefined {
  const needed =
    request.promptTokens + request.outputTokens - freeTokens(primary, request);
  if (needed <= 0) return helpers.map(() => 0);
  let remaining = needed;
  const reserved = helpers.map(helper => {
    const tokens = Math.min(
      remaining,
      Math.max(0, freeTokens(helper, request)),
    );
    remaining -= tokens;
    return Math.ceil(tokens);
  });
  return remaining <= 0 ? reserved : undefined;
}

/**
 * Places a prompt on `count` of the candidates, which prefill parts of equal
 * duration. Returns undefined if there are too few candidates or if these can't
 * hold the prompt.
 */
export function placeSplitPrompt(
  candidates: readonly Candidate[],
  request: PromptRequest,
  count: number,
): PricedPlacement | undefined {
  const prefillMs =
    engineTime.prefillMs(request.engine, request.promptTokens) / count;
  const primary = pickPrimary(
    priceAll(primaryCandidates(candidates, request), candidate =>
      placementCosts.primary(candidate, request, prefillMs),
    ),
    request,
  );
  if (!primary) return undefined;
  const others = candidates.filter(
    candidate => candidate !== primary.candidate && !candidate.isCold,
  );
  const helpers = pickHelpers(
    priceAll(
      others,
      candidate =>
        placementCosts.helper(candidate, request, prefillMs) +
        placementCosts.helperZone(candidate, request, {
          primaryZone: primary.candidate.server.zone,
          prefillMs,
          count,
        }),
    ),
    request,
    count - 1,
    primary.candidate.server.zone,
  );
  if (helpers.length < count - 1) return undefined;
  const helperServers = helpers.map(({candidate}) => candidate);
  const reserved = reservedTokens(primary.candidate, helperServers, request);
  if (!reserved) return undefined;
  const firstEventMs = Math.max(
    ...[primary.candidate, ...helperServers].map(candidate =>
      placementCosts.firstEventMs(candidate, request, prefillMs),
    ),
  );
  return {
    placement: {
      serverId: primary.candidate.server.id,
      helpers: helperServers.map(({server}, i) => ({
        serverId: server.id,
        reservedTokens: reserved[i] ?? 0,
      })),
      prefillMs,
      firstEventMs,
    },
    cost:
      primary.cost +
      helpers.reduce((sum, {cost}) => sum + cost, 0) +
      placementCosts.lateness(request, firstEventMs),
  };
}
