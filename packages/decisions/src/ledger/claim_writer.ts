import {createFailure} from '../errors/create_failure.js';
import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import {applyClaimChanges} from './apply_claim_changes.js';
import type {ClaimChange} from './claim_change.js';
import type {ClaimResult} from './claim_result.js';
import type {ClaimWriterCommand} from './claim_writer_command.js';
import type {ClaimWriterEvent} from './claim_writer_event.js';
import type {ClaimWriterOptions} from './claim_writer_options.js';
import type {ClaimWriterState} from './claim_writer_state.js';
import {estimateSegmentBytes} from './estimate_segment_bytes.js';

interface Step {
  readonly state: ClaimWriterState;
  readonly commands: readonly ClaimWriterCommand[];
}

type Context = readonly [ClaimWriterOptions, number];

function attemptOf(change: ClaimChange): string {
  return change.type === 'claim' ? change.claim.attemptId : change.attemptId;
}

function settleWith(result: ClaimResult): ClaimWriterCommand {
  return {type: 'settle', result};
}

function confirm(change: ClaimChange): ClaimWriterCommand {
  const attemptId = attemptOf(change);
  return settleWith({
    type: change.type === 'claim' ? 'granted' : 'stored',
    attemptId,
  });
}

function failUnavailable(change: ClaimChange): ClaimWriterCommand {
  const failure = createFailure(
    'ledger-unavailable',
    'The platform did not record the request in time. It was not run; send it again with the same key.',
  );
  return settleWith({type: 'failed', attemptId: attemptOf(change), failure});
}

function failExpired(state: ClaimWriterState, now: number): Step {
  const isExpired = (change: ClaimChange) => change.deadlineAt <= now;
  const failed = [...state.queued, ...state.inFlight].filter(isExpired);
  return {
    state: {
      ...state,
      queued: state.queued.filter(change => !isExpired(change)),
      inFlight: state.inFlight.filter(change => !isExpired(change)),
    },
    commands: failed.map(failUnavailable),
  };
}

function read(state: ClaimWriterState): Step {
  return {state: {...state, mode: 'reading'}, commands: [{type: 'read'}]};
}

function flush(
  state: ClaimWriterState,
  options: ClaimWriterOptions,
  now: number,
): Step {
  const {cached} = state;
  if (!cached) return read(state);
  const applied = applyClaimChanges(
    cached.segment,
    state.queued,
    cached.readAt,
  );
  const settled = applied.settled.map(settleWith);
  const rest = {...state, queued: applied.unsettled};
  if (applied.segment === cached.segment) {
    const confirmed = applied.pending.map(confirm);
    const next = applied.unsettled.length > 0 ? read(rest) : undefined;
    return {
      state: next?.state ?? rest,
      commands: [...settled, ...confirmed, ...(next?.commands ?? [])],
    };
  }
  const segment = {
    ...applied.segment,
    sealed:
      applied.segment.sealed ||
      estimateSegmentBytes(applied.segment) >= options.sealBytes,
  };
  return {
    state: {
      ...rest,
      mode: 'writing',
      inFlight: applied.pending,
      pendingSegment: segment,
      notBefore: now + options.minIntervalMs,
    },
    commands: [
      ...settled,
      {type: 'write', expectedVersion: cached.version, segment},
    ],
  };
}

/** Starts the next read or write if one is due. */
function proceed(
  state: ClaimWriterState,
  options: ClaimWriterOptions,
  now: number,
): Step {
  const isDue =
    state.mode === 'idle' && state.queued.length > 0 && now >= state.notBefore;
  return isDue ? flush(state, options, now) : {state, commands: []};
}

/** Requeues the changes of a write and drops the cached segment. */
function requeueInFlight(
  state: ClaimWriterState,
  notBefore: number,
): ClaimWriterState {
  return {
    ...state,
    mode: 'idle',
    cached: undefined,
    pendingSegment: undefined,
    queued: [...state.inFlight, ...state.queued],
    inFlight: [],
    notBefore,
  };
}

function onWritten(
  state: ClaimWriterState,
  version: number,
  now: number,
): Step {
  const segment = state.pendingSegment;
  return {
    state: {
      ...state,
      mode: 'idle',
      cached: segment && {version, segment, readAt: now},
      pendingSegment: undefined,
      inFlight: [],
    },
    commands: state.inFlight.map(confirm),
  };
}

function noCommands(state: ClaimWriterState): Step {
  return {state, commands: []};
}

const HANDLERS: EventHandlers<
  ClaimWriterState,
  ClaimWriterEvent,
  Step,
  Context
> = {
  submit: (state, event) =>
    noCommands({...state, queued: [...state.queued, event.change]}),
  read: (state, event, _options, now) =>
    noCommands({
      ...state,
      mode: 'idle',
      cached: {version: event.version, segment: event.segment, readAt: now},
    }),
  'read-failed': (state, _event, options, now) =>
    noCommands({...state, mode: 'idle', notBefore: now + options.retryMs}),
  written: (state, event, _options, now) =>
    onWritten(state, event.version, now),
  conflict: state => noCommands(requeueInFlight(state, state.notBefore)),
  'write-lost': (state, _event, options, now) =>
    noCommands(requeueInFlight(state, now + options.retryMs)),
  tick: noCommands,
};

/**
 * Writes the claims of one ledger segment in batches, each with one conditional
 * update. After a write whose response was lost, the object is read again. If
 * the attempt is missing, it is written against the version just read, which
 * ensures that at most one of the two writes takes effect.
 */
export const claimWriter = {
  create(): ClaimWriterState {
    return {mode: 'idle', queued: [], inFlight: [], notBefore: 0};
  },

  step(
    state: ClaimWriterState,
    event: ClaimWriterEvent,
    options: ClaimWriterOptions,
    now: number,
  ): Step {
    const handled = handleEvent(HANDLERS, state, event, options, now);
    const expired = failExpired(handled.state, now);
    const next = proceed(expired.state, options, now);
    return {
      state: next.state,
      commands: [...handled.commands, ...expired.commands, ...next.commands],
    };
  },
};
