import type {LinkFrame} from '../codec/link_frame.js';
import {LINK} from '../constants.js';
import type {LinkSessionCommand} from './link_session_command.js';
import type {LinkSessionOptions} from './link_session_options.js';
import type {LinkSessionState} from './link_session_state.js';

interface Step {
  readonly state: LinkSessionState;
  readonly commands: readonly LinkSessionCommand[];
}

type Frame<Type extends LinkFrame['t']> = Extract<
  LinkFrame,
  {readonly t: Type}
>;

function write(frame: LinkFrame): LinkSessionCommand {
  return {type: 'write', frame};
}

function close(state: LinkSessionState, reason: string): Step {
  return {
    state: {...state, phase: 'closed', windows: new Map()},
    commands: [{type: 'close', reason}],
  };
}

/** Text that a node signs; it covers both nonces and the signer. */
function proofText(nodeId: string, own: string, other: string): string {
  return `figfall-link/${nodeId}/${own}/${other}`;
}

function onHello(
  state: LinkSessionState,
  frame: Frame<'hello'>,
  options: LinkSessionOptions,
): Step {
  if (state.phase !== 'greeting') return close(state, 'second hello');
  if (frame.version !== LINK.PROTOCOL_VERSION) {
    return close(
      state,
      `the peer speaks protocol version ${frame.version}, this node ${LINK.PROTOCOL_VERSION}`,
    );
  }
  if (frame.node.id === options.node.id || frame.nonce === state.nonce) {
    return close(state, 'the peer has the id of this node');
  }
  const text = proofText(options.node.id, state.nonce, frame.nonce);
  return {
    state: {
      ...state,
      phase: 'proving',
      peer: frame.node,
      peerNonce: frame.nonce,
    },
    commands: [write({t: 'proof', mac: options.sign(text)})],
  };
}

function onProof(
  state: LinkSessionState,
  frame: Frame<'proof'>,
  options: LinkSessionOptions,
): Step {
  const {peer, peerNonce} = state;
  if (state.phase !== 'proving' || !peer || !peerNonce) {
    return close(state, 'proof out of order');
  }
  const text = proofText(peer.id, peerNonce, state.nonce);
  if (!options.isSigned(text, frame.mac)) {
    return close(state, 'the peer has another link key');
  }
  return {state: {...state, phase: 'up'}, commands: [{type: 'up', peer}]};
}

/** The proof of the shared key with which a link begins. */
export const linkHandshake = {close, onHello, onProof};
