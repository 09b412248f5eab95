import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import type {PromptPlacement} from './prompt_placement.js';
import type {PromptQuery} from './prompt_query.js';
import {promptWorth} from './prompt_worth.js';

/** Largest number of servers that share one prompt. */
const PARTS_MAX = 16;

/** Prompt tokens of a part under which a further split gains nothing. */
const PART_TOKENS_MIN = 3_000;

/** Share of the target time at which an answer begins to risk being late. */
const EARLY_SHARE = 0.5;

/** Share of the accepted pause at which a stream begins to risk a late one. */
const EASY_PAUSE_SHARE = 0.7;

/** Worth that one more server in a split must bring. */
const PART_COST = 0.02;

/** Cost of a server which fails all requests. */
const FAILURE_COST = 8;

/** Cost of sending to another availability zone. */
const ZONE_COST = 0.005;

/** Cost of a server where no stream runs, which long prompts can use. */
const IDLE_COST = 0.04;

/** Cost of a cold server. */
const COLD_COST = 0.5;

/** Share of the KV cache that placement fills. */
const MEMORY_SHARE = 0.95;

/** Risk, from 0 to 1, that something due at 1 with value `share` is late. */
function risk(share: number, easy: number): number {
  return Math.min(1, Math.max(0, (share - easy) / (1 - easy))) ** 2;
}

/** Cost to the streams on a server of a longer scheduling pass. */
function disturbance(
  candidate: Candidate,
  query: PromptQuery,
  prefillMs: number,
): number {
  const {load} = candidate;
  const passMs =
    engineTime.passMs(query.engine, load.decoding) + load.backlogMs;
  return load.streams.reduce((sum, {pauseMs, worth}) => {
    const before = risk(passMs / pauseMs, EASY_PAUSE_SHARE);
    const after = risk((passMs + prefillMs) / pauseMs, EASY_PAUSE_SHARE);
    return sum + (after - before) * worth;
  }, 0);
}

function freeTokens({load}: Candidate, query: PromptQuery): number {
  return query.engine.memoryTokens * MEMORY_SHARE - load.memoryTokens;
}

/** Time until a prompt that a server gets now has been read, in ms. */
function readyMs(candidate: Candidate, query: PromptQuery, prefillMs: number) {
  const {load} = candidate;
  const slotsShort = Math.max(0, load.running + 1 - query.engine.slots);
  const passMs = engineTime.passMs(query.engine, load.decoding + 1);
  const current = load.decoding > 0 ? passMs / 2 : 0;
  const slotMs = slotsShort * passMs * 8;
  return current + load.backlogMs + prefillMs + passMs + slotMs;
}

function firstCost(
  candidate: Candidate,
  query: PromptQuery,
  prefillMs: number,
): number {
  const ms = readyMs(candidate, query, prefillMs);
  const late = risk(ms / query.targetMs, EARLY_SHARE);
  const beyond = Math.max(0, ms / query.targetMs - 1);
  const isIdle = candidate.load.running === 0;
  return (
    promptWorth(query.promptTokens) * (late + beyond * 0.2) +
    ms / query.targetMs / 10 +
    disturbance(candidate, query, prefillMs) +
    candidate.failureShare * FAILURE_COST +
    (candidate.isCold ? COLD_COST : 0) +
    (isIdle ? IDLE_COST : 0) +
    (candidate.server.zone === query.zone ? 0 : ZONE_COST)
  );
}

function partCost(
  candidate: Candidate,
  query: PromptQuery,
  prefillMs: number,
): number {
  const ms = candidate.load.backlogMs + prefillMs;
  return (
    disturbance(candidate, query, prefillMs) +
    promptWorth(query.promptTokens) *
      risk(ms / query.targetMs, EARLY_SHARE) *
      0.5 +
    ms / query.targetMs / 10 +
    candidate.failureShare * FAILURE_COST +
    PART_COST
  );
}

function cheapest(
  candidates: readonly Candidate[],
  costOf: (candidate: Candidate) => number,
) {
  return candidates
    .map(candidate => ({candidate, cost: costOf(candidate)}))
    .sort((a, b) => a.cost - b.cost);
}

/** Servers that can hold a whole prompt; where none can, the emptiest one. */
function firstServers(candidates: readonly Candidate[], query: PromptQuery) {
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
  query: PromptQuery,
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

function placeInParts(
  candidates: readonly Candidate[],
  query: PromptQuery,
  count: number,
): (PromptPlacement & {readonly cost: number}) | undefined {
  const prefillMs =
    engineTime.prefillMs(query.engine, query.promptTokens) / count;
  const [first] = cheapest(firstServers(candidates, query), candidate =>
    firstCost(candidate, query, prefillMs),
  );
  if (!first) return undefined;
  const others = candidates.filter(
    candidate => candidate !== first.candidate && !candidate.isCold,
  );
  const helpers = cheapest(others, candidate =>
    partCost(candidate, query, prefillMs),
  ).slice(0, count - 1);
  if (helpers.length < count - 1) return undefined;
  const reserved = reservations(
    first.candidate,
    helpers.map(({candidate}) => candidate),
    query,
  );
  if (!reserved) return undefined;
  const slowestMs = Math.max(
    readyMs(first.candidate, query, prefillMs),
    ...helpers.map(({candidate}) => candidate.load.backlogMs + prefillMs + 50),
  );
  const late = risk(slowestMs / query.targetMs, EARLY_SHARE);
  return {
    serverId: first.candidate.server.id,
    parts: helpers.map(({candidate}, i) => ({
      serverId: candidate.server.id,
      reserveTokens: reserved[i] ?? 0,
    })),
    prefillMs,
    firstEventMs: slowestMs,
    cost:
      first.cost +
      helpers.reduce((sum, {cost}) => sum + cost, 0) +
      promptWorth(query.promptTokens) * late,
  };
}

/**
 * Chooses the backend servers for a prompt: one, or several that share its
 * prefill. Load: short prompts whose streams accept only short pauses, beside
 * long prompts that would stall a whole scheduling pass; streams gather on
 * some servers, which leaves others to the long prompts while there are any.
 */
export function placePrompt(
  candidates: readonly Candidate[],
  query: PromptQuery,
): PromptPlacement | undefined {
  const countMax = Math.max(
    1,
    Math.min(
      PARTS_MAX,
      candidates.length,
      Math.floor(query.promptTokens / PART_TOKENS_MIN),
    ),
  );
  return Array.from({length: countMax}, (_, i) => i + 1)
    .map(count => placeInParts(candidates, query, count))
    .filter(placement => placement !== undefined)
    .sort((a, b) => a.cost - b.cost)[0];
}
