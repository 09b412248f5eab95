import type {Candidate} from '../serving/candidate.js';
import type {RandomSource} from '../shared/random_source.js';

/**
 * Milliseconds in which the gateways of a zone do not know of each other's
 * choices: changes of work are collected in each zone for up to 15 ms.
 */
const UNSEEN_MS = 30;

/** Window in milliseconds of `ServerLoad.startedRecently`. */
const RECENT_MS = 1_000;

/** Smallest increase in cost by one request, which avoids division by zero. */
const INCREASE_MIN = 1e-6;

interface ZoneDecisionOptions {
  /** Availability zone of the gateway. */
  readonly zone: string;
  readonly candidates: readonly Candidate[];
  /** Cost of the wait predicted on a server, without that of its zone. */
  readonly waitCost: (candidate: Candidate) => number;
  /** Cost of sending the request to a zone. */
  readonly price: (candidate: Candidate) => number;
  /** Prefill time that the request adds to its server, in milliseconds. */
  readonly prefillMs: number;
  /** False for a zone of whose load nothing is known. */
  readonly isKnown: (zone: string) => boolean;
  readonly random: RandomSource;
}

interface ZoneDecision {
  readonly zone: string;
  /** Cost of the wait that leaving is predicted to save. */
  readonly gain: number;
  readonly cost: number;
}

function cheapest(
  candidates: readonly Candidate[],
  costOf: (candidate: Candidate) => number,
) {
  return candidates
    .map(candidate => ({candidate, cost: costOf(candidate)}))
    .sort((a, b) => a.cost - b.cost)[0];
}

/** The candidate with one more request. */
function withRequest(candidate: Candidate, prefillMs: number): Candidate {
  const {load} = candidate;
  return {
    ...candidate,
    load: {
      ...load,
      running: load.running + 1,
      decoding: load.decoding + 1,
      backlogMs: load.backlogMs + prefillMs,
    },
  };
}

/**
 * Decides which availability zone gets a request: its own, or another one whose
 * predicted wait is shorter by more than the delay and the cost. All gateways of
 * a zone see the same difference, so only as many requests leave, by a random
 * draw, as make up for it before the gateways learn of each other's choices.
 * Undefined if there are no candidates.
 */
export function decideZone({
  zone,
  candidates,
  waitCost,
  price,
  prefillMs,
  isKnown,
  random,
}: ZoneDecisionOptions): ZoneDecision | undefined {
  const own = candidates.filter(({server}) => server.zone === zone);
  const others = candidates.filter(
    ({server}) =>
      server.zone !== zone && (own.length === 0 || isKnown(server.zone)),
  );
  const total = (candidate: Candidate) =>
    waitCost(candidate) + price(candidate);
  const bestOwn = cheapest(own, waitCost);
  const best = cheapest(others, total);
  if (!best) return bestOwn && {zone, gain: 0, cost: 0};
  const {server} = best.candidate;
  const cost = price(best.candidate);
  if (!bestOwn) return {zone: server.zone, gain: 0, cost};
  const gain = bestOwn.cost - waitCost(best.candidate);
  const leave = {zone: server.zone, gain, cost};
  const stay = {zone, gain, cost};
  if (gain <= cost) return stay;
  const inZone = others.filter(other => other.server.zone === server.zone);
  const increase = (candidate: Candidate, count: number) =>
    (waitCost(withRequest(candidate, prefillMs)) - waitCost(candidate)) / count;
  const perRequest = Math.max(
    INCREASE_MIN,
    increase(bestOwn.candidate, own.length) +
      increase(best.candidate, inZone.length),
  );
  const needed = (gain - cost) / perRequest;
  const started = candidates.reduce(
    (sum, {load}) => sum + load.startedRecently,
    0,
  );
  const unseen = Math.max(1, (started * UNSEEN_MS) / RECENT_MS);
  return random() < needed / unseen ? leave : stay;
}
