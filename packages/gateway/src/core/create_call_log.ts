import type {Failure} from '@figfall/decisions';
import type {Logger} from '@figfall/observability';
import type {CallObserver} from '../calls/call_observer.js';
import type {CallOutcome} from '../calls/call_outcome.js';
import type {CallSpec} from '../calls/call_spec.js';
import {describeParts} from './describe_parts.js';
import type {Fleet} from './fleet.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {Placement} from './placement.js';

interface CallLogOptions {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly fleet: Fleet;
  readonly configVersion: () => number;
}

/** Writes the progress and the outcome of requests to log and metrics. */
interface CallLog {
  readonly observer: CallObserver;
  /** Logs a request that was rejected before it became a call. */
  readonly onRejected: (requestId: string, failure: Failure) => void;
  readonly onEnded: (spec: CallSpec, outcome: CallOutcome) => void;
}

/** Predicted gain and cost of leaving the availability zone, as a text. */
function describeLeftZone({gain, cost}: NonNullable<Placement['leftZone']>) {
  const text = (value?: number) => value?.toPrecision(3) ?? 'unknown';
  return `gain ${text(gain)} cost ${text(cost)}`;
}

/** Creates the request log of a gateway. */
export function createCallLog(options: CallLogOptions): CallLog {
  const {logger, metrics, fleet, configVersion} = options;

  const recordMetrics = (
    {name: route}: CallSpec['route'],
    outcome: CallOutcome,
  ) => {
    const result = outcome.failure?.kind ?? outcome.result;
    metrics.requests.inc({route, result});
    metrics.requestSeconds.observe({route}, outcome.totalMs / 1_000);
    if (outcome.firstEventMs === undefined) return;
    if (outcome.failure) metrics.cutStreams.inc({route, result});
    metrics.firstEventSeconds.observe({route}, outcome.firstEventMs / 1_000);
  };

  return {
    observer: {
      onWaiting: ({req, route, priority}, reason) =>
        logger.info('request waits', {
          requestId: req.requestId,
          route: route.name,
          promptTokens: req.prompt?.promptTokens,
          level: priority.level,
          reason,
          configVersion: configVersion(),
        }),
      onPlaced: ({req, priority}, placement, attempt) => {
        const {serverId, helpers, firstEventMs} = placement;
        const {candidates, heldBack, zone, leftZone} = placement;
        metrics.zoneRequests.inc({zone: leftZone ? 'other' : 'own'});
        const load = fleet.work.loadOf(serverId);
        logger.info('request placed', {
          requestId: req.requestId,
          attempt,
          promptTokens: req.prompt?.promptTokens,
          level: priority.level,
          serverId,
          zone,
          leftZone: leftZone && describeLeftZone(leftZone),
          helpers: helpers.map(helper => helper.serverId).join(' '),
          candidates,
          heldBack: heldBack || undefined,
          running: load.running,
          backlogMs: Math.round(load.backlogMs),
          predictedMs: Math.round(firstEventMs),
          ...fleet.limits.status(serverId),
          configVersion: configVersion(),
        });
      },
      onAttemptEnded: ({req}, attempt) =>
        logger.info('attempt ended', {
          requestId: req.requestId,
          ...attempt,
          silentMs: attempt.silentMs && Math.round(attempt.silentMs),
          idleMs: attempt.idleMs && Math.round(attempt.idleMs),
          sharedParts: req.prompt && describeParts(req.prompt.sharedParts),
        }),
      onDefect: ({req}, error) => {
        metrics.defects.inc();
        logger.error('request ended by a defect', {
          requestId: req.requestId,
          reason: error.message,
          stack: error.stack,
        });
      },
    },
    onRejected: (requestId, {kind, message, retryAfterMs}) => {
      metrics.requests.inc({route: '', result: kind});
      logger.info('request refused', {
        requestId,
        kind,
        reason: message,
        retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
        configVersion: configVersion(),
      });
    },
    onEnded: (spec, outcome) => {
      recordMetrics(spec.route, outcome);
      logger.info('request ended', {
        requestId: spec.req.requestId,
        route: spec.route.name,
        service: spec.service.name,
        result: outcome.failure?.kind ?? outcome.result,
        ran: outcome.failure?.ran,
        reason: outcome.failure?.message,
        status: outcome.status,
        serverId: outcome.serverId,
        attempts: outcome.attempts,
        helpers: outcome.helpers.join(' '),
        promptTokens: spec.req.prompt?.promptTokens,
        predictedMs: Math.round(outcome.predictedMs),
        eventCount: outcome.eventCount,
        firstEventMs: outcome.firstEventMs && Math.round(outcome.firstEventMs),
        longestPauseMs: Math.round(outcome.longestPauseMs),
        totalMs: Math.round(outcome.totalMs),
        configVersion: configVersion(),
      });
    },
  };
}
