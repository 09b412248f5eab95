import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {OrderLeaseOptions} from './order_lease_options.js';

/** The lease as stored in an object of the platform. */
interface LeaseObject {
  readonly fencingNumber: number;
  readonly holder: string;
}

/** State of an agent's lease for orders to its backend server. */
interface LeaseState {
  /** The object as last read or written, and when its version was first seen. */
  readonly seen?: {
    readonly version: number;
    readonly lease?: LeaseObject;
    readonly firstSeenAt: number;
  };
  readonly held?: {
    readonly fencingNumber: number;
    /** Time at which the write was sent, from which the lease is valid. */
    readonly sentAt: number;
    /** Earliest time at which an order may be sent. */
    readonly ordersFrom: number;
  };
  readonly inFlight?: {
    readonly lease: LeaseObject;
    readonly sentAt: number;
    readonly tookOver: boolean;
  };
  readonly reading: boolean;
}

type LeaseEvent =
  | {
      readonly type: 'read';
      readonly version: number;
      readonly lease?: LeaseObject;
    }
  | {readonly type: 'read-failed'}
  | {readonly type: 'written'; readonly version: number}
  | {readonly type: 'conflict'}
  | {readonly type: 'write-lost'}
  | {readonly type: 'tick'};

type LeaseCommand =
  | {readonly type: 'read'}
  | {
      readonly type: 'write';
      readonly expectedVersion: number;
      readonly lease: LeaseObject;
    };

interface LeaseStep {
  readonly state: LeaseState;
  readonly commands: readonly LeaseCommand[];
}

type Context = readonly [OrderLeaseOptions, number];

function noCommands(state: LeaseState): LeaseStep {
  return {state, commands: []};
}

function onRead(
  state: LeaseState,
  event: Extract<LeaseEvent, {type: 'read'}>,
  now: number,
): LeaseStep {
  const isSameVersion = state.seen?.version === event.version;
  const firstSeenAt = isSameVersion ? (state.seen?.firstSeenAt ?? now) : now;
  const {version, lease} = event;
  return noCommands({
    ...state,
    reading: false,
    seen: {version, lease, firstSeenAt},
  });
}

function onWritten(
  state: LeaseState,
  version: number,
  options: OrderLeaseOptions,
  now: number,
): LeaseStep {
  const write = state.inFlight;
  if (!write) return noCommands(state);
  const {fencingNumber} = write.lease;
  const isRenewal = state.held?.fencingNumber === fencingNumber;
  const waitMs =
    write.tookOver && !options.checksFencing ? options.maxOrderMs : 0;
  const ordersFrom = isRenewal ? (state.held?.ordersFrom ?? now) : now + waitMs;
  return noCommands({
    ...state,
    inFlight: undefined,
    held: {fencingNumber, sentAt: write.sentAt, ordersFrom},
    seen: {version, lease: write.lease, firstSeenAt: now},
  });
}

function write(
  state: LeaseState,
  lease: LeaseObject,
  tookOver: boolean,
  now: number,
): LeaseStep {
  const expectedVersion = state.seen?.version ?? 0;
  return {
    state: {...state, inFlight: {lease, sentAt: now, tookOver}},
    commands: [{type: 'write', expectedVersion, lease}],
  };
}

function read(state: LeaseState): LeaseStep {
  return {state: {...state, reading: true}, commands: [{type: 'read'}]};
}

function onTick(
  state: LeaseState,
  options: OrderLeaseOptions,
  now: number,
): LeaseStep {
  if (state.inFlight || state.reading) return noCommands(state);
  const {seen, held} = state;
  if (!seen) return read(state);
  const isHolder = held && seen.lease?.holder === options.holder;
  if (isHolder) {
    const isDue = now - held.sentAt >= options.leaseMs / 3;
    return isDue
      ? write(state, seen.lease ?? NO_LEASE, false, now)
      : noCommands(state);
  }
  const hasExpired = !seen.lease || now - seen.firstSeenAt >= options.leaseMs;
  if (!hasExpired) return read(state);
  const fencingNumber = (seen.lease?.fencingNumber ?? 0) + 1;
  const {holder} = options;
  const tookOver = seen.lease !== undefined;
  return write(state, {fencingNumber, holder}, tookOver, now);
}

const NO_LEASE: LeaseObject = {fencingNumber: 0, holder: ''};

/** Drops the write in progress and the known version; the next tick reads. */
function discardRead(state: LeaseState): LeaseStep {
  const {seen} = state;
  return noCommands({
    ...state,
    inFlight: undefined,
    seen: seen && undefined,
  });
}

const HANDLERS: EventHandlers<LeaseState, LeaseEvent, LeaseStep, Context> = {
  read: (state, event, _options, now) => onRead(state, event, now),
  'read-failed': state => noCommands({...state, reading: false}),
  written: (state, event, options, now) =>
    onWritten(state, event.version, options, now),
  conflict: discardRead,
  'write-lost': discardRead,
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/**
 * A lease that gives one agent the exclusive right to send orders to a backend
 * server, stored as one object of the platform. Another node's lease counts as
 * expired only after its version has not changed for the whole lease time on
 * this node's own clock. If the backend server ignores fencing numbers, a new
 * holder also waits for the maximum duration of an order, since the previous
 * holder may have sent one just before the lease expired.
 */
export const orderLease = {
  create(): LeaseState {
    return {reading: false};
  },

  step(
    state: LeaseState,
    event: LeaseEvent,
    options: OrderLeaseOptions,
    now: number,
  ): LeaseStep {
    return handleEvent(HANDLERS, state, event, options, now);
  },

  /** Returns the fencing number, or undefined if no order may be sent now. */
  fencingNumber(
    state: LeaseState,
    options: OrderLeaseOptions,
    now: number,
  ): number | undefined {
    const {held} = state;
    if (!held || now < held.ordersFrom) return undefined;
    if (now - held.sentAt >= options.leaseMs) return undefined;
    return held.fencingNumber;
  },
};
