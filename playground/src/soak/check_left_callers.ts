import type {CallerOutcome} from '@figfall/gateway-server/testing';
import type {SoakObservations} from './soak_observations.js';

type Observations = Pick<
  SoakObservations,
  | 'outcomes'
  | 'arrivals'
  | 'runs'
  | 'linkHarms'
  | 'gatewayByRequestId'
  | 'gatewayDisruptions'
  | 'harnessDelays'
>;

type Span = SoakObservations['harnessDelays'][number];

/** Time after a caller's end in which work for it may begin or go on. */
const LIMIT_MS = 500;

/** Requests that may be later: those that cross their callers' ends. */
const LATE_MAX = 3;

/** Milliseconds of a span that others cover; where they overlap, once. */
function coveredMs(span: Span, others: readonly Span[]): number {
  const sorted = others.toSorted((a, b) => a.from - b.from);
  const covered = sorted.reduce(
    ({ms, until}, {from, to}) => {
      const begin = Math.max(from, until);
      const end = Math.max(begin, Math.min(to, span.to));
      return {ms: ms + end - begin, until: Math.max(until, end)};
    },
    {ms: 0, until: span.from},
  );
  return covered.ms;
}

/** Callers that have left, by the ids of their requests. */
function leftCallers({outcomes}: Observations) {
  return new Map(
    outcomes
      .filter(({kind}) => kind !== 'book')
      .flatMap(({requestId, leftAt}) =>
        leftAt === undefined ? [] : [[requestId, leftAt] as const],
      ),
  );
}

/** Time by which something at a server was too late, as far as links worked. */
function lateMs(
  observations: Observations,
  {serverId, leftAt, at}: {serverId: string; leftAt: number; at: number},
  excused: readonly Span[] = [],
): number {
  const span = {from: leftAt, to: at};
  const harms = observations.linkHarms.filter(
    harm => harm.serverId === serverId,
  );
  if (coveredMs(span, harms) > 0) return 0;
  const excuses = [...observations.harnessDelays, ...excused];
  return at - leftAt - coveredMs(span, excuses) - LIMIT_MS;
}

function describe(
  what: string,
  requestId: CallerOutcome['requestId'],
  {gateway, serverId, ms}: {gateway?: string; serverId: string; ms: number},
): string {
  return `${what} ${requestId}: ${gateway}, ${serverId}, ${Math.round(ms + LIMIT_MS)} ms after its caller had left`;
}

/** Requests that reach servers after their callers have left; no pause excuses it. */
function lateArrivals(observations: Observations): readonly string[] {
  const left = leftCallers(observations);
  return observations.arrivals.flatMap(({requestId, serverId, at}) => {
    const leftAt = left.get(requestId);
    if (leftAt === undefined) return [];
    const ms = lateMs(observations, {serverId, leftAt, at});
    const gateway = observations.gatewayByRequestId.get(requestId);
    return ms > 0
      ? [describe('sent-after-leave', requestId, {gateway, serverId, ms})]
      : [];
  });
}

/** Work that goes on for them, but for the time in which their gateway stood still. */
function lateWork(observations: Observations): readonly string[] {
  const left = leftCallers(observations);
  return observations.runs.flatMap(({requestId, serverId, at, endedAt}) => {
    const leftAt = left.get(requestId);
    if (leftAt === undefined || at > leftAt + LIMIT_MS) return [];
    const gateway = observations.gatewayByRequestId.get(requestId);
    const pauses = observations.gatewayDisruptions.filter(
      disruption => disruption.gateway === gateway,
    );
    const work = {serverId, leftAt, at: endedAt};
    const ms = lateMs(observations, work, pauses);
    return ms > 0
      ? [describe('worked-after-leave', requestId, {gateway, serverId, ms})]
      : [];
  });
}

/**
 * Checks that servers get no request, and do no work, for callers that left half
 * a second before. The time in which the harness itself was late doesn't count.
 */
export function checkLeftCallers(
  observations: Observations,
): readonly string[] {
  return [lateArrivals(observations), lateWork(observations)].flatMap(lines =>
    lines.length > LATE_MAX ? lines : [],
  );
}
