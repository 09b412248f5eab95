import type {NoticeResponse} from '@figfall/gateway-server/testing';
import type {SoakObservations} from './soak_observations.js';

/** Time after a limit was first named from which it binds. */
const IN_FORCE_MS = 3_000;

/** Time after a gateway was told from which its requests count. */
const TOLD_MS = 500;

/** Window in which the sum over all gateways is judged. */
const WINDOW_MS = 4_000;

/** Time for which a restart or a pause of a gateway excuses it. */
const EXCUSED_MS = 3_000;

type Observations = Pick<
  SoakObservations,
  'arrivals' | 'noticeResponses' | 'gatewayByRequestId' | 'gatewayDisruptions'
>;

/** Responses in which one server named its limit, by the server's id. */
function namedByServer(
  notices: readonly NoticeResponse[],
): ReadonlyMap<string, readonly NoticeResponse[]> {
  const named = notices.filter(
    ({limitPerSecond}) => limitPerSecond !== undefined,
  );
  const ids = new Set(named.map(({serverId}) => serverId));
  return new Map(
    [...ids].map(id => [id, named.filter(({serverId}) => serverId === id)]),
  );
}

/** Times of the requests that count, from gateways that had been told. */
function countedArrivals(
  observations: Observations,
  serverId: string,
  named: readonly NoticeResponse[],
): readonly number[] {
  const {arrivals, gatewayByRequestId, gatewayDisruptions} = observations;
  const times = named.map(({at}) => at);
  const from = Math.min(...times) + IN_FORCE_MS;
  const to = Math.max(...times);
  const toldAt = (gateway?: string) =>
    Math.min(
      ...named
        .filter(({requestId}) => gatewayByRequestId.get(requestId) === gateway)
        .map(({at}) => at),
    );
  return arrivals
    .filter(arrival => arrival.serverId === serverId)
    .filter(({at}) => at >= from && at <= to)
    .filter(({requestId, at}) => {
      const gateway = gatewayByRequestId.get(requestId);
      const isExcused = gatewayDisruptions.some(
        span =>
          span.gateway === gateway &&
          span.from < at &&
          span.to > at - EXCUSED_MS,
      );
      return !isExcused && toldAt(gateway) <= at - TOLD_MS;
    })
    .map(({at}) => at)
    .sort((a, b) => a - b);
}

/**
 * Checks that all gateways together send a server at most 1.5 times the request
 * rate that it named, + 5, in any 4 s. A process of a server names one rate at
 * most in a run, without a break (`planLimits`).
 */
export function checkServerLimits(
  observations: Observations,
): readonly string[] {
  const byServer = namedByServer(observations.noticeResponses);
  return [...byServer].flatMap(([serverId, named]) => {
    const perSecond = named[0]?.limitPerSecond ?? 0;
    const allowed = 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
    const times = countedArrivals(observations, serverId, named);
    const counts = times.map(
      end => times.filter(at => at <= end && at > end - WINDOW_MS).length,
    );
    const most = Math.max(0, ...counts);
    if (most <= allowed) return [];
    return [
      `sent-over-limit ${serverId}: got ${most} requests in 4 s from gateways that it had told that it takes ${perSecond} a second`,
    ];
  });
}
