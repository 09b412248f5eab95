import type {
  CallerOutcome,
  RequestExecution,
} from '@figfall/gateway-server/testing';
import {checkCrashingPrompts} from './check_crashing_prompts.js';
import {checkLeftCallers} from './check_left_callers.js';
import {checkMemory} from './check_memory.js';
import {checkSoundPrompts} from './check_sound_prompts.js';
import {checkServerLimits} from './check_server_limits.js';
import {checkServerNotices} from './check_server_notices.js';
import {checkUnanswered} from './check_unanswered.js';
import {DRAIN_LIMIT_MS} from './drain_limit_ms.js';
import type {SoakObservations} from './soak_observations.js';

/** Returns one line for each violation of an invariant. */
type InvariantCheck = (
  observations: SoakObservations,
  executionsById: ReadonlyMap<string, readonly RequestExecution[]>,
) => readonly string[];

/** Statuses that guarantee that a request has not run and never will. */
const NOT_EXECUTED_STATUSES: readonly (number | undefined)[] = [
  408, 421, 429, 503,
];

/** Time after a disruption before the drain limit applies again. */
const RECOVERY_MS = 3_000;

/** Longest time that a gateway process may take to stop. */
const STOP_LIMIT_MS = 8_000;

function isSuccess({status = 0}: CallerOutcome): boolean {
  return status >= 200 && status < 300;
}

const checkDuplicateExecutions: InvariantCheck = ({outcomes}, executionsById) =>
  outcomes
    .filter(({kind}) => kind === 'book')
    .filter(({requestId}) => (executionsById.get(requestId) ?? []).length > 1)
    .map(
      ({requestId}) =>
        `duplicate-execution ${requestId}: a booking ran more than once`,
    );

const checkRefusedRequests: InvariantCheck = ({outcomes}, executionsById) =>
  outcomes
    .filter(
      ({kind, status}) =>
        kind === 'book' && NOT_EXECUTED_STATUSES.includes(status),
    )
    .filter(({requestId}) => executionsById.has(requestId))
    .map(
      ({requestId, status}) =>
        `executed-after-refusal ${requestId}: a booking ran, but its caller got ${status}`,
    );

/** Accepts any prefix of the server's body for an incomplete response. */
function matchesExecution(
  outcome: CallerOutcome,
  execution: RequestExecution,
): boolean {
  const isIdentical = execution.responseBody === outcome.responseBody;
  return outcome.isComplete
    ? isIdentical
    : execution.responseBody.startsWith(outcome.responseBody);
}

const checkResponses: InvariantCheck = ({outcomes}, executionsById) =>
  outcomes.filter(isSuccess).flatMap(outcome => {
    const {requestId, signature, echoedRequestId} = outcome;
    if (echoedRequestId !== requestId) {
      return [
        `response-mismatch ${requestId}: the response is for request ${echoedRequestId}`,
      ];
    }
    const executions = executionsById.get(requestId) ?? [];
    const execution = executions.find(other => other.signature === signature);
    if (!execution)
      return [
        `response-mismatch ${requestId}: no execution signed ${signature}`,
      ];
    if (matchesExecution(outcome, execution)) return [];
    return [
      `response-mismatch ${requestId}: the body differs from the server's`,
    ];
  });

const checkForwardedRequests: InvariantCheck = ({outcomes, executions}) => {
  const outcomesById = new Map(
    outcomes.map(outcome => [outcome.requestId, outcome]),
  );
  return executions.flatMap(execution => {
    const outcome = outcomesById.get(execution.requestId);
    if (!outcome)
      return [
        `request-mismatch ${execution.requestId}: no caller sent ${execution.method} ${execution.target}`,
      ];
    if (execution.hasKey)
      return [
        `request-mismatch ${execution.requestId}: the API key was forwarded`,
      ];
    const isSame =
      execution.method === outcome.method &&
      execution.target === outcome.target &&
      execution.body === outcome.body &&
      execution.workspace === outcome.workspace;
    return isSame
      ? []
      : [`request-mismatch ${execution.requestId}: the request was modified`];
  });
};

const checkDrains: InvariantCheck = ({drains, executions, disruptions}) =>
  drains.flatMap(({serverId, startedAt}) =>
    executions
      .filter(
        execution =>
          execution.serverId === serverId &&
          execution.at > startedAt + DRAIN_LIMIT_MS,
      )
      .filter(
        execution =>
          !disruptions.some(
            ({from, to}) => from < execution.at && to > startedAt - RECOVERY_MS,
          ),
      )
      .map(
        execution =>
          `executed-after-drain ${execution.requestId}: ran on draining server ${serverId}`,
      ),
  );

const checkStops: InvariantCheck = ({stops}) =>
  stops
    .filter(
      ({durationMs, exitCode}) => durationMs > STOP_LIMIT_MS || exitCode !== 0,
    )
    .map(
      ({gateway, durationMs, exitCode}) =>
        `failed-stop ${gateway}: exited with ${exitCode} after ${Math.round(durationMs)} ms`,
    );

const checkExits: InvariantCheck = ({unexpectedExits}) =>
  unexpectedExits.map(exit => `unexpected-exit ${exit}`);

const checkFinalRequests: InvariantCheck = ({finalRequests}) =>
  finalRequests
    .filter(({expectedStatus, status}) => status !== expectedStatus)
    .map(
      ({gateway, description, expectedStatus, status}) =>
        `not-recovered ${gateway}: ${description} got status ${status} instead of ${expectedStatus}`,
    );

const checkReservations: InvariantCheck = ({leakedReservationIds}) =>
  leakedReservationIds.map(
    id => `leaked-reservation ${id}: still held at the end of the run`,
  );

const CHECKS: readonly InvariantCheck[] = [
  checkDuplicateExecutions,
  checkRefusedRequests,
  checkResponses,
  checkForwardedRequests,
  checkDrains,
  checkServerNotices,
  checkServerLimits,
  checkCrashingPrompts,
  checkSoundPrompts,
  checkUnanswered,
  checkLeftCallers,
  checkStops,
  checkExits,
  checkMemory,
  checkFinalRequests,
  checkReservations,
];

/**
 * Returns the violations in a soak run, one line each: the violated invariant,
 * the request, gateway or reservation concerned, and what was observed.
 */
export function checkInvariants(
  observations: SoakObservations,
): readonly string[] {
  const executionsById = new Map<string, readonly RequestExecution[]>();
  observations.executions.forEach(execution =>
    executionsById.set(execution.requestId, [
      ...(executionsById.get(execution.requestId) ?? []),
      execution,
    ]),
  );
  return CHECKS.flatMap(check => check(observations, executionsById));
}
