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

function quiet(state: LinkSessionState): Step {
  return {state, commands: []};
}

function write(frame: LinkFrame): LinkSessionCommand {
  return {type: 'write', frame};
}

const {close} = linkHandshake;

function onData(state: LinkSessionState, frame: Frame<'data'>): Step {
  if (state.phase !== 'up') return close(state, 'data before the handshake');
  if (frame.q !== state.receiveNumber) {
    return close(state, `frame ${frame.q} came for ${state.receiveNumber}`);
  }
  const {s: stream, m: message, c: cost} = frame;
  return {
    state: {...state, receiveNumber: state.receiveNumber + 1},
    commands: [{type: 'deliver', stream, message, cost}],
  };
}

function sendReady(state: LinkSessionState, stream: string): Step {
  const window = state.windows.get(stream);
  if (!window) return quiet(state);
  const {window: next, ready} = sendWindow.takeReady(window);
  const commands = ready.map(({message, cost}, i) =>
    write({
      t: 'data',
      s: stream,
      q: state.sendNumber + i,
      c: cost,
      m: message,
    }),
  );
  const windows = mapWith(state.windows, stream, next);
  const sendNumber = state.sendNumber + ready.length;
  return {state: {...state, windows, sendNumber}, commands};
}

function onCredit(state: LinkSessionState, frame: Frame<'credit'>): Step {
  const window = state.windows.get(frame.s);
  if (!window) return quiet(state);
  const credited = sendWindow.credit(window, frame.c);
  const windows = mapWith(state.windows, frame.s, credited);
  return sendReady({...state, windows}, frame.s);
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
  pong: quiet,
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
  return handler({...state, heardAt: now}, frame, options);
}

function onSend(
  state: LinkSessionState,
  event: Extract<LinkSessionEvent, {type: 'send'}>,
): Step {
  if (state.phase !== 'up') return quiet(state);
  const {stream, message, cost} = event;
  if (cost === 0 && !state.windows.has(stream)) {
    const frame: LinkFrame = {
      t: 'data',
      s: stream,
      q: state.sendNumber,
      c: 0,
      m: message,
    };
    const sendNumber = state.sendNumber + 1;
    return {state: {...state, sendNumber}, commands: [write(frame)]};
  }
  const window = state.windows.get(stream) ?? sendWindow.empty();
  const filled = sendWindow.add(window, message, cost);
  const windows = mapWith(state.windows, stream, filled);
  return sendReady({...state, windows}, stream);
}

function onConsumed(
  state: LinkSessionState,
  event: Extract<LinkSessionEvent, {type: 'consumed'}>,
): Step {
  const {stream, cost} = event;
  const total = (state.consumed.get(stream) ?? 0) + cost;
  if (total < LINK.CREDIT_BYTES) {
    return quiet({
      ...state,
      consumed: mapWith(state.consumed, stream, total),
    });
  }
  return {
    state: {...state, consumed: mapWithout(state.consumed, stream)},
    commands: [write({t: 'credit', s: stream, c: total})],
  };
}

function onTick(
  state: LinkSessionState,
  options: LinkSessionOptions,
  now: number,
): Step {
  if (state.phase !== 'up') {
    const isLate = now - state.startedAt >= options.handshakeMs;
    return isLate ? close(state, 'the handshake took too long') : quiet(state);
  }
  if (now - state.heardAt >= options.silenceMs) {
    return close(state, `nothing was heard for ${now - state.heardAt} ms`);
  }
  if (now - state.pingedAt < options.heartbeatMs) return quiet(state);
  return {
    state: {...state, pingedAt: now},
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
    quiet({
      ...state,
      windows: mapWithout(state.windows, stream),
      consumed: mapWithout(state.consumed, stream),
    }),
  tick: (state, _event, options, now) => onTick(state, options, now),
};

/**
 * One end of a link: handshake with proof of the shared key, heartbeats,
 * frame numbers and a window for each stream.
 */
export const linkSession = {
  /** Returns the state and the hello that opens the connection. */
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
        phase: 'greeting',
        nonce,
        sendNumber: 0,
        receiveNumber: 0,
        startedAt: now,
        heardAt: now,
        pingedAt: now,
        windows: new Map(),
        consumed: new Map(),
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
    if (state.phase === 'closed') return quiet(state);
    return handleEvent(HANDLERS, state, event, options, now);
  },
};
