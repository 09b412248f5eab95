import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';
import type {SchedulerEvent} from './scheduler_event.js';
import {schedulerLoad} from './scheduler_load.js';
import type {SchedulerOptions} from './scheduler_options.js';
import type {SchedulerState} from './scheduler_state.js';
import type {SchedulerStep} from './scheduler_step.js';
import {unavailableReason} from './unavailable_reason.js';

/** Maximum share of an engine's memory for reservations. */
const MAX_RESERVED_SHARE = 0.9;

function noCommands(state: SchedulerState): SchedulerStep {
  return {state, commands: []};
}

/** Returns a failure if a reservation is too large ever to be granted. */
function checkSize(
  tokens: number,
  options: SchedulerOptions,
): Failure | undefined {
  const largest = Math.floor(options.memoryTokens * MAX_RESERVED_SHARE);
  if (tokens <= largest) return undefined;
  return createFailure(
    'memory-full',
    `At most ${largest} tokens can be reserved on this backend server.`,
  );
}

function onReserve(
  state: SchedulerState,
  event: Extract<SchedulerEvent, {type: 'reserve'}>,
  options: SchedulerOptions,
): SchedulerStep {
  const {reservationId, tokens, expiresAt} = event;
  const existing = state.reservations.get(reservationId);
  const failure = existing
    ? undefined
    : (unavailableReason(state.serverStatus) ?? checkSize(tokens, options));
  if (failure) {
    return {state, commands: [{type: 'not-reserved', reservationId, failure}]};
  }
  const granted = existing?.granted ?? false;
  const reservation = {reservationId, tokens, expiresAt, granted};
  const reservations = mapWith(state.reservations, reservationId, reservation);
  const confirmation = {type: 'reserved', reservationId} as const;
  return {
    state: {...state, reservations},
    commands: granted ? [confirmation] : [],
  };
}

function onRelease(
  state: SchedulerState,
  reservationId: string,
): SchedulerStep {
  if (!state.reservations.has(reservationId)) return noCommands(state);
  const reservations = mapWithout(state.reservations, reservationId);
  return {
    state: {...state, reservations},
    commands: [{type: 'reservation-ended', reservationId}],
  };
}

/**
 * Reservations of an engine's memory for prompts that are split over several
 * engines. They are granted in order of arrival, once running calls have freed
 * enough memory. New calls can't take the memory that a pending reservation
 * needs.
 */
export const memoryReservations = {
  onReserve,
  onRelease,

  /** Grants pending reservations in order, up to the first that doesn't fit. */
  grant(state: SchedulerState, options: SchedulerOptions): SchedulerStep {
    const next = [...state.reservations.values()].find(
      reservation => !reservation.granted,
    );
    if (!next) return {state, commands: []};
    const granted = [...state.reservations.values()].filter(r => r.granted);
    const grantedTokens = granted.reduce((total, r) => total + r.tokens, 0);
    const largest = options.memoryTokens * MAX_RESERVED_SHARE;
    const unallocated = schedulerLoad.unallocatedTokens(state, options);
    if (next.tokens > unallocated || grantedTokens + next.tokens > largest) {
      return {state, commands: []};
    }
    const reservations = mapWith(state.reservations, next.reservationId, {
      ...next,
      granted: true,
    });
    const rest = memoryReservations.grant({...state, reservations}, options);
    const {reservationId} = next;
    return {
      state: rest.state,
      commands: [{type: 'reserved', reservationId}, ...rest.commands],
    };
  },

  /** Ends reservations that were not extended before they expired. */
  expire(state: SchedulerState, now: number): SchedulerStep {
    const entries = [...state.reservations];
    const valid = entries.filter(([, {expiresAt}]) => expiresAt > now);
    if (valid.length === entries.length) return {state, commands: []};
    const commands = entries
      .filter(([, {expiresAt}]) => expiresAt <= now)
      .map(([reservationId]) => ({
        type: 'reservation-ended' as const,
        reservationId,
      }));
    return {state: {...state, reservations: new Map(valid)}, commands};
  },
};
