import type {NoticeResponse} from '@figfall/gateway-server/testing';
import {DRAIN_LIMIT_MS} from './drain_limit_ms.js';
import type {SoakObservations} from './soak_observations.js';

/** Time after a request for a pause from which the pause binds. */
const PAUSE_GRACE_MS = 500;

/** Requests of one gateway that may slip through during a pause. */
const PAUSE_ARRIVALS_MAX = 2;

type Observations = Pick<
  SoakObservations,
  'arrivals' | 'noticeResponses' | 'gatewayByRequestId' | 'gatewayDisruptions'
>;

/** Requests from the gateway that received a notice, to the same server. */
function arrivalsAfter(
  {arrivals, gatewayByRequestId, gatewayDisruptions}: Observations,
  notice: NoticeResponse,
  {from, to}: {readonly from: number; readonly to: number},
) {
  const gateway = gatewayByRequestId.get(notice.requestId);
  return arrivals
    .filter(({serverId}) => serverId === notice.serverId)
    .filter(({at}) => at > from && at < to)
    .filter(({requestId}) => gatewayByRequestId.get(requestId) === gateway)
    .filter(
      ({at}) =>
        !gatewayDisruptions.some(
          span =>
            span.gateway === gateway && span.from < at && span.to > notice.at,
        ),
    );
}

/**
 * Checks that gateways heed what servers say of themselves: nothing is sent to
 * a server that leaves, and hardly anything to one that asked for a pause.
 * A restart or a pause of the gateway itself excuses it.
 */
export function checkServerNotices(
  observations: Observations,
): readonly string[] {
  return observations.noticeResponses.flatMap(notice => {
    const {serverId, at, isLeaving, pauseMs} = notice;
    const afterLeaving = isLeaving
      ? arrivalsAfter(observations, notice, {
          from: at + DRAIN_LIMIT_MS,
          to: Infinity,
        })
      : [];
    const duringPause = arrivalsAfter(observations, notice, {
      from: at + PAUSE_GRACE_MS,
      to: at + pauseMs,
    });
    return [
      ...afterLeaving.map(
        ({requestId}) =>
          `sent-to-leaving ${requestId}: reached ${serverId}, which had told its gateway that it leaves`,
      ),
      ...(duringPause.length > PAUSE_ARRIVALS_MAX
        ? [
            `sent-during-pause ${serverId}: ${duringPause.length} requests came from a gateway that it had asked for a pause`,
          ]
        : []),
    ];
  });
}
