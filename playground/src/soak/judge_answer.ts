import type {BackendRun, CallerOutcome} from '@figfall/gateway-server/testing';
import type {AnswerVerdict} from './answer_verdict.js';
import {areAttemptsSpent} from './are_attempts_spent.js';
import {CALLER_TIMEOUT_MS} from './caller_timeout_ms.js';
import {didServerBreakOff} from './did_server_break_off.js';
import {findLastRun} from './find_last_run.js';
import {LOSS_SLACK_MS} from './loss_slack_ms.js';
import type {SoakObservations} from './soak_observations.js';

type Observations = Pick<
  SoakObservations,
  | 'arrivals'
  | 'runs'
  | 'linkHarms'
  | 'gatewayByRequestId'
  | 'sentAtByRequestId'
  | 'gatewayDisruptions'
  | 'stops'
>;

interface Case {
  readonly outcome: CallerOutcome;
  readonly sentAt: number;
  readonly gateway: string | undefined;
  /** The last run of the request that began before its end. */
  readonly run: BackendRun | undefined;
  readonly observations: Observations;
}

type Exception = Exclude<AnswerVerdict, 'answered' | 'unanswered'>;

/** `contactTimeoutMs` of the rules. */
const CONTACT_TIMEOUT_MS = 3_000;

/** `gracePeriodS` of the rules, and where its last sixth begins. */
const GRACE_PERIOD_MS = 8_000;
const LAST_SIXTH_MS = (GRACE_PERIOD_MS * 5) / 6;

/** Time from SIGTERM to the last requests that the grace period excuses. */
const SENT_AFTER_STOP_MAX_MS = 3_000;

function wasPassedOn({outcome, observations}: Case): boolean {
  return observations.arrivals.some(
    ({requestId}) => requestId === outcome.requestId,
  );
}

/** The reasons for which the rules let a connection end without an answer. */
const EXCEPTIONS: Readonly<Record<Exception, (item: Case) => boolean>> = {
  unsent: item => !wasPassedOn(item) && item.outcome.sentWholeAt === undefined,
  'caller-left': ({outcome}) => outcome.hasCallerLeft,
  deadline: ({outcome, sentAt}) =>
    outcome.endedAt >= sentAt + CALLER_TIMEOUT_MS,
  'gateway-disrupted': ({outcome, sentAt, gateway, observations}) =>
    observations.gatewayDisruptions.some(span => {
      // An exit after SIGTERM excuses nothing that the process had read.
      const excusedUntil = span.cause === 'stop' ? sentAt : outcome.endedAt;
      return (
        span.gateway === gateway &&
        span.from < excusedUntil &&
        span.to > sentAt - CONTACT_TIMEOUT_MS
      );
    }),
  'grace-period': ({sentAt, gateway, run, observations: {stops}}) =>
    stops.some(
      stop =>
        stop.gateway === gateway &&
        sentAt <= stop.from + SENT_AFTER_STOP_MAX_MS &&
        run !== undefined &&
        run.at < stop.from + GRACE_PERIOD_MS &&
        run.endedAt > stop.from + LAST_SIXTH_MS,
    ),
  'server-broke-off': ({outcome, observations}) =>
    didServerBreakOff(outcome, observations.runs),
  'attempts-spent': ({outcome, observations}) =>
    areAttemptsSpent(outcome, observations.runs),
  'link-harmed': ({outcome, run, observations: {linkHarms}}) =>
    linkHarms.some(
      harm =>
        harm.serverId === run?.serverId &&
        harm.from <= Math.min(run.endedAt, outcome.endedAt) &&
        harm.to >= run.at,
    ),
  unread: item => {
    const {sentWholeAt = Infinity, endedAt} = item.outcome;
    return !wasPassedOn(item) && endedAt <= sentWholeAt + LOSS_SLACK_MS;
  },
};

const EXCEPTION_ENTRIES = Object.entries(EXCEPTIONS) as [
  Exception,
  (item: Case) => boolean,
][];

/**
 * Judges by LOST of the users' rules whether a request got the answer that it
 * was owed. A server's silence is no reason to end an answer sooner.
 */
export function judgeAnswer(
  outcome: CallerOutcome,
  observations: Observations,
): AnswerVerdict {
  if (outcome.isComplete) return 'answered';
  const {requestId, endedAt} = outcome;
  const item = {
    outcome,
    sentAt: observations.sentAtByRequestId.get(requestId) ?? endedAt,
    gateway: observations.gatewayByRequestId.get(requestId),
    run: findLastRun(outcome, observations.runs),
    observations,
  };
  const exception = EXCEPTION_ENTRIES.find(([, applies]) => applies(item));
  return exception?.[0] ?? 'unanswered';
}
