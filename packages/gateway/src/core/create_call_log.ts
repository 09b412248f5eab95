import type {Failure} from '@figfall/decisions';
import type {Logger} from '@figfall/observability';
import type {CallOutcome} from '../calls/call_outcome.js';
import type {CallSpec} from '../calls/call_spec.js';
import type {CallTrace} from '../calls/call_trace.js';
import type {Fleet} from './fleet.js';
import type {GatewayMetrics} from './gateway_metrics.js';

interface CallLogOptions {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly fleet: Fleet;
  readonly configVersion: () => number;
}

/** Writes what becomes of requests to the log and to the metrics. */
interface CallLog {
  readonly trace: CallTrace;
  /** A request was refused before it had a route. */
  readonly refused: (requestId: string, failure: Failure) => void;
  readonly ended: (spec: CallSpec, outcome: CallOutcome) => void;
}

/** Creates the log of requests of a gateway. */
export function createCallLog(options: CallLogOptions): CallLog {
  const {logger, metrics, fleet, configVersion} = options;

  const observe = ({name: route}: CallSpec['route'], outcome: CallOutcome) => {
    const result = outcome.failure?.kind ?? outcome.result;
    metrics.requests.inc({route, result});
    metrics.seconds.observe({route}, outcome.totalMs / 1_000);
    if (outcome.firstEventMs === undefined) return;
    metrics.firstEventSeconds.observe({route}, outcome.firstEventMs / 1_000);
  };

  return {
    trace: {
      waits: ({req, route}) =>
        logger.info('request waits', {
          requestId: req.requestId,
          route: route.name,
          promptTokens: req.prompt?.promptTokens,
          configVersion: configVersion(),
        }),
      placed: ({req}, placement, attempt) => {
        const {serverId, helpers: parts, firstEventMs, candidates} = placement;
        const load = fleet.loadOf(serverId);
        logger.info('request placed', {
          requestId: req.requestId,
          attempt,
          promptTokens: req.prompt?.promptTokens,
          serverId,
          helpers: parts.map(part => part.serverId).join(' '),
          candidates,
          running: load.running,
          backlogMs: Math.round(load.backlogMs),
          predictedMs: Math.round(firstEventMs),
          configVersion: configVersion(),
        });
      },
      attemptEnded: ({req}, serverId, result, reason) =>
        logger.info('attempt ended', {
          requestId: req.requestId,
          serverId,
          result,
          reason,
        }),
    },
    refused: (requestId, {kind, message}) => {
      metrics.requests.inc({route: '', result: kind});
      logger.info('request refused', {
        requestId,
        kind,
        reason: message,
        configVersion: configVersion(),
      });
    },
    ended: (spec, outcome) => {
      observe(spec.route, outcome);
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
        firstEventMs: outcome.firstEventMs && Math.round(outcome.firstEventMs),
        longestPauseMs: Math.round(outcome.longestPauseMs),
        totalMs: Math.round(outcome.totalMs),
        configVersion: configVersion(),
      });
    },
  };
}
