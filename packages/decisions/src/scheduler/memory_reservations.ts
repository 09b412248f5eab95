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

/** Share of an engine's memory that reservations may hold. */
const RESERVABLE_SHARE = 0.9;

function quiet(state: SchedulerState): SchedulerStep {
  return {state, commands: []};
}

/** Returns why a reservation could never be granted, if so. */
function refusal(
  tokens: number,
  options: SchedulerOptions,
): Failure | undefined {
  const largest = Math.floor(options.memoryTokens * RESERVABLE_SHARE);
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
  const held = state.reservations.get(reservationId);
  const failure = held
    ? undefined
    : (unavailableReason(state.serverStatus) ?? refusal(tokens, options));
  if (failure) {
    return {state, commands: [{type: 'not-reserved', reservationId, failure}]};
  }
  const granted = held?.granted ?? false;
  const reservation = {reservationId, tokens, expiresAt, granted};
  const reservations = mapWith(state.reservations, reservationId, reservation);
  const confirm = {type: 'reserved', reservationId} as const;
  return {
    state: {...state, reservations},
    commands: granted ? [confirm] : [],
  };
}

function onRelease(
  state: SchedulerState,
  reservationId: string,
): SchedulerStep {
  if (!state.reservations.has(reservationId)) return quiet(state);
  const reservations = mapWithout(state.reservations, reservationId);
  return {
    state: {...state, reservations},
    commands: [{type: 'reservation-ended', reservationId}],
  };
}

/**
 * Reservations of an engine's memory by prompts that need several engines.
 * A reservation is granted in order of arrival as soon as running calls have
 * left enough memory; until then the memory that it waits for is not given
 * to new calls.
 */
export const memoryReservations = {
  onReserve,
  onRelease,

  /** Grants the first reservation that waits, where it fits. */
  grant(state: SchedulerState, options: SchedulerOptions): SchedulerStep {
    const next = [...state.reservations.values()].find(
      reservation => !reservation.granted,
    );
    if (!next) return {state, commands: []};
    const others = [...state.reservations.values()].filter(r => r.granted);
    const heldByOthers = others.reduce((total, r) => total + r.tokens, 0);
    const largest = options.memoryTokens * RESERVABLE_SHARE;
    const unheld = schedulerLoad.unallocatedTokens(state, options);
    if (next.tokens > unheld || heldByOthers + next.tokens > largest) {
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

  /** Ends reservations whose owner has not renewed them in time. */
  expire(state: SchedulerState, now: number): SchedulerStep {
    const entries = [...state.reservations];
    const live = entries.filter(([, {expiresAt}]) => expiresAt > now);
    if (live.length === entries.length) return {state, commands: []};
    const commands = entries
      .filter(([, {expiresAt}]) => expiresAt <= now)
      .map(([reservationId]) => ({
        type: 'reservation-ended' as const,
        reservationId,
      }));
    return {state: {...state, reservations: new Map(live)}, commands};
  },
};
