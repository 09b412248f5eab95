import {handleEvent, mapWith, mapWithout} from '@figfall/decisions';
import type {EventHandlers} from '@figfall/decisions';
import type {LinkFrame} from '../codec/link_frame.js';
import {LINK} from '../constants.js';
import {linkHandshake} from './link_handshake.js';
import type {LinkSessionCommand} from './link_session_command.js';
import type {LinkSessionEvent} from './link_session_event.js';
import type {LinkSessionOptions} from './link_session_options.js';
import type {LinkSessionState} from './link_session_state.js';
import {sendWindow} from './send_window.js';

interface Step {
  readonly state: LinkSessionState;
  readonly commands: readonly LinkSessionCommand[];
}

type Frame<Type extends LinkFrame['t']> = Extract<
  LinkFrame,
  {readonly t: Type}
>;
type Context = readonly [LinkSessionOptions, number];

function noCommands(state: LinkSessionState): Step {
  return {state, commands: []};
}

function write(frame: LinkFrame): LinkSessionCommand {
  return {type: 'write', frame};
}

const {close} = linkHandshake;

function onData(state: LinkSessionState, frame: Frame<'data'>): Step {
  if (state.phase !== 'established')
    return close(state, 'data frame received before the handshake completed');
  if (frame.q !== state.nextReceiveNumber) {
    return close(
      state,
      `received data frame ${frame.q}, expected ${state.nextReceiveNumber}`,
    );
  }
  const {s: stream, m: message, c: windowBytes} = frame;
  return {
    state: {...state, nextReceiveNumber: state.nextReceiveNumber + 1},
    commands: [{type: 'deliver', stream, message, windowBytes}],
  };
}

function sendReady(state: LinkSessionState, stream: string): Step {
  const window = state.sendWindows.get(stream);
  if (!window) return noCommands(state);
  const {window: next, ready} = sendWindow.dequeueReady(window);
  const commands = ready.map(({message, windowBytes}, i) =>
    write({
      t: 'data',
      s: stream,
      q: state.nextSendNumber + i,
      c: windowBytes,
      m: message,
    }),
  );
  const sendWindows = mapWith(state.sendWindows, stream, next);
  const nextSendNumber = state.nextSendNumber + ready.length;
  return {state: {...state, sendWindows, nextSendNumber}, commands};
}

function onCredit(state: LinkSessionState, frame: Frame<'credit'>): Step {
  const window = state.sendWindows.get(frame.s);
  if (!window) return noCommands(state);
  const credited = sendWindow.addCredit(window, frame.c);
  const sendWindows = mapWith(state.sendWindows, frame.s, credited);
  return sendReady({...state, sendWindows}, frame.s);
}

type FrameHandlers = {
  readonly [Type in LinkFrame['t']]: (
    state: LinkSessionState,
    frame: Frame<Type>,
    options: LinkSessionOptions,
  ) => Step;
};

const FRAME_HANDLERS: FrameHandlers = {
  hello: linkHandshake.onHello,
  proof: linkHandshake.onProof,
  ping: state => ({state, commands: [write({t: 'pong'})]}),
  pong: noCommands,
  data: onData,
  credit: onCredit,
};

function onFrame(
  state: LinkSessionState,
  frame: LinkFrame,
  options: LinkSessionOptions,
  now: number,
): Step {
  const handler = FRAME_HANDLERS[frame.t] as (
    state: LinkSessionState,
    frame: LinkFrame,
    options: LinkSessionOptions,
  ) => Step;
  return handler({...state, lastReceivedAt: now}, frame, options);
}

function onSend(
  state: LinkSessionState,
  event: Extract<LinkSessionEvent, {type: 'send'}>,
): Step {
  if (state.phase !== 'established') return noCommands(state);
  const {stream, message, windowBytes} = event;
  if (windowBytes === 0 && !state.sendWindows.has(stream)) {
    const frame: LinkFrame = {
      t: 'data',
      s: stream,
      q: state.nextSendNumber,
      c: 0,
      m: message,
    };
    const nextSendNumber = state.nextSendNumber + 1;
    return {state: {...state, nextSendNumber}, commands: [write(frame)]};
  }
  const window = state.sendWindows.get(stream) ?? sendWindow.empty();
  const filled = sendWindow.enqueue(window, message, windowBytes);
  const sendWindows = mapWith(state.sendWindows, stream, filled);
  return sendReady({...state, sendWindows}, stream);
}

function onConsumed(
  state: LinkSessionState,
  event: Extract<LinkSessionEvent, {type: 'consumed'}>,
): Step {
  const {stream, windowBytes} = event;
  const total = (state.uncreditedBytes.get(stream) ?? 0) + windowBytes;
  if (total < LINK.CREDIT_THRESHOLD_BYTES) {
    return noCommands({
      ...state,
      uncreditedBytes: mapWith(state.uncreditedBytes, stream, total),
    });
  }
  return {
    state: {
      ...state,
      uncreditedBytes: mapWithout(state.uncreditedBytes, stream),
    },
    commands: [write({t: 'credit', s: stream, c: total})],
  };
}

function onTick(
  state: LinkSessionState,
  options: LinkSessionOptions,
  now: number,
): Step {
  if (state.phase !== 'established') {
    const isLate = now - state.startedAt >= options.handshakeTimeoutMs;
    return isLate ? close(state, 'the handshake timed out') : noCommands(state);
  }
  if (now - state.lastReceivedAt >= options.silenceTimeoutMs) {
    return close(
      state,
      `no frame received for ${now - state.lastReceivedAt} ms`,
    );
  }
  // A received frame shows that the peer is alive, so no ping is due for it.
  const lastSignAt = Math.max(state.lastPingAt, state.lastReceivedAt);
  if (now - lastSignAt < options.heartbeatIntervalMs) return noCommands(state);
  return {
    state: {...state, lastPingAt: now},
    commands: [write({t: 'ping'})],
  };
}

const HANDLERS: EventHandlers<
  LinkSessionState,
  LinkSessionEvent,
  Step,
  Context
> = {
  frame: (state, event, options, now) =>
    onFrame(state, event.frame, options, now),
  send: onSend,
  consumed: onConsumed,
  'end-stream': (state, {stream}) =>
    noCommands({
      ...state,
      sendWindows: mapWithout(state.sendWindows, stream),
      uncreditedBytes: mapWithout(state.uncreditedBytes, stream),
    }),
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/**
 * State machine of one endpoint of a link: authenticates the peer, sends
 * heartbeats, numbers data frames and limits the bytes in flight per stream.
 */
export const linkSession = {
  /** Returns the initial state and the command that sends the hello frame. */
  start(options: LinkSessionOptions, now: number): Step {
    const {node, nonce} = options;
    const hello: LinkFrame = {
      t: 'hello',
      version: LINK.PROTOCOL_VERSION,
      node,
      nonce,
    };
    return {
      state: {
        phase: 'awaiting-hello',
        nonce,
        nextSendNumber: 0,
        nextReceiveNumber: 0,
        startedAt: now,
        lastReceivedAt: now,
        lastPingAt: now,
        sendWindows: new Map(),
        uncreditedBytes: new Map(),
      },
      commands: [write(hello)],
    };
  },

  step(
    state: LinkSessionState,
    event: LinkSessionEvent,
    options: LinkSessionOptions,
    now: number,
  ): Step {
    if (state.phase === 'closed') return noCommands(state);
    return handleEvent(HANDLERS, state, event, options, now);
  },
};
