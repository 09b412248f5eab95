import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import {mapWith} from '../shared/map_with.js';
import {doorLoad} from './door_load.js';
import type {DoorOptions} from './door_options.js';
import type {DoorState} from './door_state.js';
import type {DoorStep} from './door_step.js';

/** Share of an engine's memory that reservations may hold. */
const RESERVABLE_SHARE = 0.9;

/**
 * Reservations of an engine's memory by prompts that need several engines.
 * A reservation is granted in order of arrival as soon as running calls have
 * left enough memory; until then the memory that it waits for is not given
 * to new calls.
 */
export const doorReservations = {
  /** Returns why a reservation could never be granted, if so. */
  refusal(tokens: number, options: DoorOptions): Failure | undefined {
    const largest = Math.floor(options.totalTokens * RESERVABLE_SHARE);
    if (tokens <= largest) return undefined;
    return createFailure(
      'memory-full',
      `At most ${largest} tokens can be reserved on this backend server.`,
    );
  },

  /** Grants the first reservation that waits, where it fits. */
  grant(state: DoorState, options: DoorOptions): DoorStep {
    const next = [...state.reservations.values()].find(
      reservation => !reservation.granted,
    );
    if (!next) return {state, commands: []};
    const others = [...state.reservations.values()].filter(r => r.granted);
    const heldByOthers = others.reduce((total, r) => total + r.tokens, 0);
    const largest = options.totalTokens * RESERVABLE_SHARE;
    const unheld = doorLoad.unheldTokens(state, options);
    if (next.tokens > unheld || heldByOthers + next.tokens > largest) {
      return {state, commands: []};
    }
    const reservations = mapWith(state.reservations, next.reservationId, {
      ...next,
      granted: true,
    });
    const rest = doorReservations.grant({...state, reservations}, options);
    const {reservationId} = next;
    return {
      state: rest.state,
      commands: [{type: 'reserved', reservationId}, ...rest.commands],
    };
  },

  /** Ends reservations whose owner has not renewed them in time. */
  expire(state: DoorState, now: number): DoorStep {
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
