import {createFailure} from '../errors/create_failure.js';
import {mayHaveRun} from '../errors/may_have_run.js';
import type {EventHandlers} from '../shared/event_handlers.js';
import {handleEvent} from '../shared/handle_event.js';
import type {CallCommand} from './call_command.js';
import type {CallEvent} from './call_event.js';
import {callLinks} from './call_links.js';
import type {CallOptions} from './call_options.js';
import {callRecovery} from './call_recovery.js';
import type {CallState} from './call_state.js';
import type {CallStep} from './call_step.js';
import {recordLostHedge} from './record_lost_hedge.js';
import {resumeWait} from './resume_wait.js';

type Context = readonly [CallOptions, number];

function noCommands(state: CallState): CallStep {
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
  const runsAlone = state.crashes > 0;
  return {
    state: {
      ...state,
      phase: 'opening',
      agentId,
      agentIncarnation,
      attemptId,
      ranBeforeAttempt: state.ran,
      unroutedSince: undefined,
      routeAt: undefined,
      lastReceivedAt: now,
      lastAttachAt: now,
    },
    commands: [{type: 'open', agentId, attemptId, resumeIndex, runsAlone}],
  };
}

/** Retries routing for up to `routeTimeoutMs` while links are down. */
function onNotRouted(
  state: CallState,
  event: Extract<CallEvent, {type: 'not-routed'}>,
  options: CallOptions,
  now: number,
): CallStep {
  const unroutedSince = state.unroutedSince ?? now;
  const isRetryable = event.failure.kind === 'not-ready';
  if (isRetryable && now - unroutedSince < options.routeTimeoutMs) {
    return noCommands({...state, unroutedSince, exclude: []});
  }
  if (resumeWait.applies(state, event.failure, options, now)) {
    return noCommands(resumeWait.begin(state, 'unrouted', now));
  }
  const failure =
    event.failure.kind === 'no-backend-server' && state.lastFailure
      ? state.lastFailure
      : event.failure;
  return callRecovery.end(state, failure);
}

function onAccepted(state: CallState, now: number): CallStep {
  if (state.phase !== 'opening') {
    return noCommands({...state, lastReceivedAt: now});
  }
  return noCommands({
    ...state,
    phase: 'active',
    attempts: state.attempts + 1,
    ran: mayHaveRun(state.ran),
    refusedBy: [],
    lastReceivedAt: now,
  });
}

function onTokens(
  state: CallState,
  event: Extract<CallEvent, {type: 'tokens'}>,
  now: number,
): CallStep {
  const skipped = state.nextIndex - event.index;
  if (skipped < 0) {
    return callLinks.attach({...state, lastReceivedAt: now}, now);
  }
  const newTexts = skipped === 0 ? event.texts : event.texts.slice(skipped);
  if (newTexts.length === 0) {
    return noCommands({...state, lastReceivedAt: now});
  }
  return {
    state: {
      ...state,
      lastReceivedAt: now,
      phase: 'active',
      ran: 'yes',
      nextIndex: state.nextIndex + newTexts.length,
      lastTokenAt: now,
      resumeRefusals: 0,
    },
    commands: [{type: 'emit', texts: newTexts}],
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
    if (now < (state.routeAt ?? now)) return noCommands(state);
    return callRecovery.routeAgain(state, state.exclude);
  }
  if (state.phase === 'detached') {
    if (now - state.detachedAt < options.reconnectTimeoutMs) {
      return noCommands(state);
    }
    const failure = createFailure(
      'link-lost',
      'The node that ran the request can no longer be reached.',
    );
    return callRecovery.afterFailure(state, failure, false, options);
  }
  const lastActivityAt = Math.max(state.lastReceivedAt, state.lastAttachAt);
  const isAwaitingFrames =
    state.phase === 'opening' || state.phase === 'active';
  if (!isAwaitingFrames || now - lastActivityAt < options.progressTimeoutMs) {
    return noCommands(state);
  }
  return callLinks.attach(state, now);
}

function onCallerDisconnected(state: CallState): CallStep {
  return {
    state: {...state, phase: 'ended'},
    commands: cancelCommands(state),
  };
}

const HANDLERS: EventHandlers<CallState, CallEvent, CallStep, Context> = {
  routed: (state, event, _options, now) => onRouted(state, event, now),
  'not-routed': onNotRouted,
  accepted: (state, _event, _options, now) => onAccepted(state, now),
  refused: (state, event, options, now) =>
    callRecovery.afterRefusal(state, event.failure, options, now),
  tokens: (state, event, _options, now) => onTokens(state, event, now),
  done: (state, event, _options, now) => onDone(state, event, now),
  failed: (state, event, options) =>
    callRecovery.afterFailure(state, event.failure, event.crashed, options),
  alive: (state, _event, _options, now) =>
    state.phase === 'opening'
      ? onAccepted(state, now)
      : noCommands({...state, lastReceivedAt: now}),
  'hedge-lost': state => noCommands(recordLostHedge(state)),
  unseen: callLinks.onUnseen,
  'link-down': (state, event, _options, now) =>
    callLinks.onLinkDown(state, event, now),
  'link-up': callLinks.onLinkUp,
  aborted: (state, event) => callRecovery.end(state, event.failure),
  'caller-disconnected': state => onCallerDisconnected(state),
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/** Returns true if an event belongs to an attempt other than the current. */
function isStale(state: CallState, event: CallEvent): boolean {
  return 'attemptId' in event && event.type !== 'routed'
    ? event.attemptId !== state.attemptId
    : false;
}

/**
 * State machine of one caller's request, from routing to its response. It
 * detects late, duplicate and reordered frames by attempt id and token index.
 * A request that is not idempotent is retried only if it certainly did not
 * run.
 */
export const callMachine = {
  /** Returns the initial state and the command to route the request. */
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

  /**
   * Handles one event at `now`, in milliseconds. Events of earlier attempts
   * and events after the end are ignored.
   */
  step(
    state: CallState,
    event: CallEvent,
    options: CallOptions,
    now: number,
  ): CallStep {
    if (state.phase === 'ended' || isStale(state, event)) {
      return noCommands(state);
    }
    return handleEvent(HANDLERS, state, event, options, now);
  },
};
