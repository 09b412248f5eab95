import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {Socket} from 'node:net';
import {monotonicNow, reportDefect} from '@figfall/task';
import {frameCodec} from '../codec/frame_codec.js';
import {LINK} from '../constants.js';
import type {NodeIdentity} from '../messages/node_identity.js';
import {linkSession} from '../session/link_session.js';
import type {LinkSessionCommand} from '../session/link_session_command.js';
import type {LinkSessionEvent} from '../session/link_session_event.js';
import {messageWindowBytes} from '../session/message_window_bytes.js';
import type {Link} from './link.js';
import type {LinkEvent} from './link_event.js';
import type {LinkOptions} from './link_options.js';

const NONCE_BYTES = 16;

/**
 * Runs one endpoint of a link over a socket and starts the handshake. Any
 * frame, socket or handshake error closes the link with a `link-down` event.
 */
export function createLink(
  socket: Socket,
  options: LinkOptions,
  onEvent: (event: LinkEvent) => void,
): Link {
  const sign = (text: string) =>
    createHmac('sha256', options.key).update(text).digest('hex');
  const sessionOptions = {
    node: options.node,
    nonce: randomBytes(NONCE_BYTES).toString('hex'),
    sign,
    verify: (text: string, mac: string) => {
      const expected = Buffer.from(sign(text));
      const given = Buffer.from(mac);
      return (
        expected.length === given.length && timingSafeEqual(expected, given)
      );
    },
    heartbeatIntervalMs:
      options.heartbeatIntervalMs ?? LINK.HEARTBEAT_INTERVAL_MS,
    silenceTimeoutMs: options.silenceTimeoutMs ?? LINK.SILENCE_TIMEOUT_MS,
    handshakeTimeoutMs: LINK.HANDSHAKE_TIMEOUT_MS,
  };
  const reader = frameCodec.createReader();
  const started = linkSession.start(sessionOptions, monotonicNow());
  let state = started.state;
  let peer: NodeIdentity | undefined;
  let isClosed = false;

  const close = (reason: string): void => {
    if (isClosed) return;
    isClosed = true;
    socket.destroy();
    onEvent({type: 'link-down', link, peer, reason});
  };

  const executors: {
    readonly [Type in LinkSessionCommand['type']]: (
      command: Extract<LinkSessionCommand, {type: Type}>,
    ) => void;
  } = {
    write: ({frame}) => {
      if (!isClosed) socket.write(frameCodec.encode(frame));
    },
    established: established => {
      peer = established.peer;
      onEvent({type: 'link-up', link, peer: established.peer});
    },
    deliver: ({stream, message, windowBytes}) =>
      onEvent({type: 'message', link, stream, message, windowBytes}),
    close: ({reason}) => close(reason),
  };

  const execute = (command: LinkSessionCommand): void =>
    (executors[command.type] as (command: LinkSessionCommand) => void)(command);

  const step = (event: LinkSessionEvent): void => {
    const next = linkSession.step(state, event, sessionOptions, monotonicNow());
    state = next.state;
    next.commands.forEach(execute);
  };

  const link: Link = {
    linkId: sessionOptions.nonce,
    peer: () => peer,
    send: (stream, message) =>
      step({
        type: 'send',
        stream,
        message,
        windowBytes: messageWindowBytes(message),
      }),
    returnCredit: (stream, windowBytes) => {
      if (windowBytes > 0) step({type: 'consumed', stream, windowBytes});
    },
    endStream: stream => step({type: 'end-stream', stream}),
    close,
    tick: () => step({type: 'tick'}),
    byteCounts: () => ({sent: socket.bytesWritten, received: socket.bytesRead}),
  };

  socket.setNoDelay(true);
  socket.on('data', chunk => {
    const frames = reader.push(chunk);
    if (frames.isErr()) return close(frames.error.message);
    try {
      frames.value.forEach(frame => step({type: 'frame', frame}));
    } catch (error) {
      reportDefect(error);
      close(`a message could not be handled: ${(error as Error).message}`);
    }
  });
  socket.on('error', error => close(error.message));
  socket.on('close', () => close('the connection closed'));
  started.commands.forEach(execute);
  return link;
}
