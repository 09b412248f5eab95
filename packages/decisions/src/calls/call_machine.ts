import {createFailure} from '../errors/create_failure.js';
import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {CallCommand} from './call_command.js';
import type {CallEvent} from './call_event.js';
import {callLinks} from './call_links.js';
import type {CallOptions} from './call_options.js';
import {callRecovery} from './call_recovery.js';
import type {CallState} from './call_state.js';
import type {CallStep} from './call_step.js';

type Context = readonly [CallOptions, number];

function quiet(state: CallState): CallStep {
  return {state, commands: []};
}

function cancelCommands(state: CallState): CallCommand[] {
  const {agentId, attemptId} = state;
  if (!agentId || !attemptId || state.phase === 'routing') return [];
  return [{type: 'cancel', agentId, attemptId}];
}

function onRouted(
  state: CallState,
  event: Extract<CallEvent, {type: 'routed'}>,
  now: number,
): CallStep {
  const {agentId, agentIncarnation, attemptId} = event;
  const {nextIndex: resumeIndex} = state;
  const alone = state.crashes > 0;
  return {
    state: {
      ...state,
      phase: 'opening',
      agentId,
      agentIncarnation,
      attemptId,
      ranBeforeAttempt: state.ran,
      unroutedSince: undefined,
      lastReceivedAt: now,
      lastAttachAt: now,
    },
    commands: [{type: 'open', agentId, attemptId, resumeIndex, alone}],
  };
}

/** Waits for links that are down, for a time, before giving up. */
function onNotRouted(
  state: CallState,
  event: Extract<CallEvent, {type: 'not-routed'}>,
  options: CallOptions,
  now: number,
): CallStep {
  const unroutedSince = state.unroutedSince ?? now;
  const mayWait = event.failure.kind === 'not-ready';
  if (mayWait && now - unroutedSince < options.routeTimeoutMs) {
    return quiet({...state, unroutedSince, exclude: []});
  }
  const failure =
    event.failure.kind === 'no-backend-server' && state.lastFailure
      ? state.lastFailure
      : event.failure;
  return callRecovery.end(state, failure);
}

function onAccepted(state: CallState, now: number): CallStep {
  if (state.phase !== 'opening') return quiet({...state, lastReceivedAt: now});
  return quiet({
    ...state,
    phase: 'active',
    attempts: state.attempts + 1,
    ran: state.ran === 'no' ? 'unknown' : state.ran,
    refusedBy: [],
    lastReceivedAt: now,
  });
}

function onTokens(
  state: CallState,
  event: Extract<CallEvent, {type: 'tokens'}>,
  now: number,
): CallStep {
  const heard = {...state, lastReceivedAt: now};
  if (event.index > state.nextIndex) return callLinks.attach(heard, now);
  const fresh = event.texts.slice(state.nextIndex - event.index);
  if (fresh.length === 0) return quiet(heard);
  return {
    state: {
      ...heard,
      phase: 'active',
      ran: 'yes',
      nextIndex: state.nextIndex + fresh.length,
    },
    commands: [{type: 'emit', texts: fresh}],
  };
}

function onDone(
  state: CallState,
  event: Extract<CallEvent, {type: 'done'}>,
  now: number,
): CallStep {
  if (event.count > state.nextIndex) return callLinks.attach(state, now);
  return {
    state: {...state, phase: 'ended'},
    commands: [{type: 'complete'}],
  };
}

function onDeadline(state: CallState): CallStep {
  const failure = createFailure(
    'deadline-exceeded',
    'The request did not finish before its deadline.',
    state.ran === 'no' ? {ran: 'no'} : {},
  );
  const ended = callRecovery.end(state, failure);
  return {
    state: ended.state,
    commands: [...cancelCommands(state), ...ended.commands],
  };
}

function onTick(state: CallState, options: CallOptions, now: number): CallStep {
  if (now >= options.deadlineAt) return onDeadline(state);
  if (state.phase === 'routing') {
    return callRecovery.routeAgain(state, state.exclude);
  }
  if (state.phase === 'detached') {
    if (now - state.detachedAt < options.reconnectTimeoutMs) {
      return quiet(state);
    }
    const failure = createFailure(
      'link-lost',
      'The node that ran the request can no longer be reached.',
    );
    return callRecovery.afterFailure(state, failure, false, options);
  }
  const silentSince = Math.max(state.lastReceivedAt, state.lastAttachAt);
  const isWaiting = state.phase === 'opening' || state.phase === 'active';
  if (!isWaiting || now - silentSince < options.progressTimeoutMs) {
    return quiet(state);
  }
  return callLinks.attach(state, now);
}

function onCallerGone(state: CallState): CallStep {
  return {
    state: {...state, phase: 'ended'},
    commands: cancelCommands(state),
  };
}

const HANDLERS: EventHandlers<CallState, CallEvent, CallStep, Context> = {
  routed: (state, event, _options, now) => onRouted(state, event, now),
  'not-routed': onNotRouted,
  accepted: (state, _event, _options, now) => onAccepted(state, now),
  refused: (state, event, options) =>
    callRecovery.afterRefusal(state, event.failure, options),
  tokens: (state, event, _options, now) => onTokens(state, event, now),
  done: (state, event, _options, now) => onDone(state, event, now),
  failed: (state, event, options) =>
    callRecovery.afterFailure(state, event.failure, event.crashed, options),
  alive: (state, _event, _options, now) =>
    state.phase === 'opening'
      ? onAccepted(state, now)
      : quiet({...state, lastReceivedAt: now}),
  unseen: callLinks.onUnseen,
  'link-down': (state, event, _options, now) =>
    callLinks.onLinkDown(state, event, now),
  'link-up': callLinks.onLinkUp,
  'caller-disconnected': state => onCallerGone(state),
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/** True where an event is of an attempt that has been given up. */
function isStale(state: CallState, event: CallEvent): boolean {
  return 'attemptId' in event && event.type !== 'routed'
    ? event.attemptId !== state.attemptId
    : false;
}

/**
 * Takes one caller's request from routing to its answer. Late, doubled and
 * crossed frames are recognised by attempt and token index. A request that
 * may not repeat is tried again only where it certainly did not run.
 */
export const callMachine = {
  start(options: CallOptions, now: number): CallStep {
    const state: CallState = {
      phase: 'routing',
      attempts: 0,
      refusedBy: [],
      nextIndex: options.resumeIndex,
      ran: 'no',
      ranBeforeAttempt: 'no',
      crashes: options.crashes,
      lastReceivedAt: now,
      detachedAt: now,
      lastAttachAt: now,
      exclude: [],
    };
    return callRecovery.routeAgain(state, []);
  },

  step(
    state: CallState,
    event: CallEvent,
    options: CallOptions,
    now: number,
  ): CallStep {
    if (state.phase === 'ended' || isStale(state, event)) return quiet(state);
    return handleEvent(HANDLERS, state, event, options, now);
  },
};
