import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {ScheduledCall} from './scheduled_call.js';
import {schedulerLoad} from './scheduler_load.js';
import type {SchedulerOptions} from './scheduler_options.js';
import type {SchedulerState} from './scheduler_state.js';

/** Queued calls allowed per running call while the backend server is cold. */
const COLD_QUEUE_FACTOR = 2;

/**
 * Maximum predicted time to the first token, as a share of the time left until
 * the deadline. The rest is for generating tokens, and for later calls that
 * are dispatched earlier.
 */
const MAX_FIRST_TOKEN_SHARE = 0.5;

type Check = (
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
  now: number,
) => Failure | undefined;

const checkDeclared: Check = ({serverStatus}) =>
  serverStatus.declared
    ? undefined
    : createFailure(
        'not-declared',
        'No record declares this backend server. Apply a backend-server record for it.',
      );

const checkLeaving: Check = ({serverStatus}) =>
  serverStatus.leaving
    ? createFailure('leaving', 'This backend server is shutting down.')
    : undefined;

const checkZone: Check = ({serverStatus}) =>
  serverStatus.zoneInService
    ? undefined
    : createFailure('zone-out', 'The availability zone is out of service.');

const checkServer: Check = ({serverStatus}) =>
  serverStatus.serverInService
    ? undefined
    : createFailure('server-out', 'The backend server is out of service.');

const checkTarget: Check = ({serverStatus}, call) =>
  serverStatus.servedTargets.includes(call.target)
    ? undefined
    : createFailure(
        'model-not-loaded',
        `"${call.target}" is not loaded on this backend server.`,
      );

const checkReservation: Check = (state, call) =>
  call.reservationId === undefined ||
  state.reservations.get(call.reservationId)?.granted
    ? undefined
    : createFailure(
        'memory-full',
        'The memory reservation of this call has expired.',
      );

const checkMemory: Check = (_state, call, options) =>
  call.reservationId !== undefined || call.totalTokens <= options.memoryTokens
    ? undefined
    : createFailure(
        'memory-full',
        `The call needs ${call.totalTokens} tokens of memory; this backend server has ${options.memoryTokens}.`,
      );

const checkZoneLimit: Check = ({serverStatus}) =>
  serverStatus.zoneLimitShare > 0
    ? undefined
    : createFailure(
        'zone-limit',
        "This backend server's share of the availability zone's limit is 0.",
      );

const checkCold: Check = state => {
  if (state.coldStart.phase !== 'cold') return undefined;
  const queued = state.queue.items.length;
  const maxQueued = state.coldStart.limit * COLD_QUEUE_FACTOR;
  if (state.running.size + queued < state.coldStart.limit + maxQueued) {
    return undefined;
  }
  return createFailure(
    'cold-start-limit',
    'The backend server is in a cold start and its reduced limits are reached.',
  );
};

const checkQueue: Check = (state, call, options) => {
  const calls = state.queue.items.length;
  const tokens = state.queue.tokens + call.promptTokens;
  const tokensFit = calls === 0 || tokens <= options.maxQueuedTokens;
  if (calls < options.maxQueuedCalls && tokensFit) return undefined;
  return createFailure(
    'queue-full',
    'The queue of this backend server is full.',
  );
};

const checkDeadline: Check = (state, call, options, now) => {
  if (options.kind === 'plain-service') {
    return call.deadlineAt > now
      ? undefined
      : createFailure('deadline-infeasible', 'The deadline has passed.');
  }
  const firstTokenMs = schedulerLoad.predictFirstTokenMs(state, call);
  const leftMs = call.deadlineAt - now;
  if (firstTokenMs < leftMs * MAX_FIRST_TOKEN_SHARE) return undefined;
  return createFailure(
    'deadline-infeasible',
    `The first token would take about ${Math.ceil(firstTokenMs)} ms, which is too close to the deadline.`,
    {retryAfterMs: Math.ceil(firstTokenMs)},
  );
};

/** In order; the first failure is the one that the caller gets. */
const CHECKS: readonly Check[] = [
  checkDeclared,
  checkLeaving,
  checkZone,
  checkServer,
  checkTarget,
  checkReservation,
  checkMemory,
  checkZoneLimit,
  checkCold,
  checkQueue,
  checkDeadline,
];

/** Returns why a call can't be admitted, or undefined if it can. */
export function checkAdmission(
  state: SchedulerState,
  call: ScheduledCall,
  options: SchedulerOptions,
  now: number,
): Failure | undefined {
  return CHECKS.reduce<Failure | undefined>(
    (failure, check) => failure ?? check(state, call, options, now),
    undefined,
  );
}
