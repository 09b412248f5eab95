import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {OrderLeaseOptions} from './order_lease_options.js';

/** The lease as an object of the platform. */
interface LeaseObject {
  readonly fencingNumber: number;
  readonly holder: string;
}

/** State of an agent's lease on the orders to its backend server. */
interface LeaseState {
  /** The object as last read, and when this version was first seen. */
  readonly seen?: {
    readonly version: number;
    readonly lease?: LeaseObject;
    readonly firstSeenAt: number;
  };
  readonly held?: {
    readonly fencingNumber: number;
    /** Time at which the write was sent; the lease counts from it. */
    readonly sentAt: number;
    /** Time before which no order is sent. */
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

function quiet(state: LeaseState): LeaseStep {
  return {state, commands: []};
}

function onRead(
  state: LeaseState,
  event: Extract<LeaseEvent, {type: 'read'}>,
  now: number,
): LeaseStep {
  const isSame = state.seen?.version === event.version;
  const firstSeenAt = isSame ? (state.seen?.firstSeenAt ?? now) : now;
  const {version, lease} = event;
  return quiet({...state, reading: false, seen: {version, lease, firstSeenAt}});
}

function onWritten(
  state: LeaseState,
  version: number,
  options: OrderLeaseOptions,
  now: number,
): LeaseStep {
  const write = state.inFlight;
  if (!write) return quiet(state);
  const {fencingNumber} = write.lease;
  const renewed = state.held?.fencingNumber === fencingNumber;
  const waitMs =
    write.tookOver && !options.checksFencing ? options.maxOrderMs : 0;
  const ordersFrom = renewed ? (state.held?.ordersFrom ?? now) : now + waitMs;
  return quiet({
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
  if (state.inFlight || state.reading) return quiet(state);
  const {seen, held} = state;
  if (!seen) return read(state);
  const isOwn = held && seen.lease?.holder === options.holder;
  if (isOwn) {
    const isDue = now - held.sentAt >= options.leaseMs / 3;
    return isDue
      ? write(state, seen.lease ?? noLease, false, now)
      : quiet(state);
  }
  const hasLapsed = !seen.lease || now - seen.firstSeenAt >= options.leaseMs;
  if (!hasLapsed) return read(state);
  const fencingNumber = (seen.lease?.fencingNumber ?? 0) + 1;
  const {holder} = options;
  const tookOver = seen.lease !== undefined;
  return write(state, {fencingNumber, holder}, tookOver, now);
}

const noLease: LeaseObject = {fencingNumber: 0, holder: ''};

function forget(state: LeaseState): LeaseStep {
  const {seen} = state;
  return quiet({...state, inFlight: undefined, seen: seen && undefined});
}

const HANDLERS: EventHandlers<LeaseState, LeaseEvent, LeaseStep, Context> = {
  read: (state, event, _options, now) => onRead(state, event, now),
  'read-failed': state => quiet({...state, reading: false}),
  written: (state, event, options, now) =>
    onWritten(state, event.version, options, now),
  conflict: forget,
  'write-lost': forget,
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/**
 * A lease on the right to order a backend server about, kept as one object of
 * the platform. Another node's lease counts as lapsed only after its version
 * has stood unchanged for the whole lease time on this node's own clock. For
 * backend servers that ignore fencing numbers, a new holder waits for the
 * longest order beyond that.
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

  /** Returns the fencing number for an order now, or nothing. */
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
