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
    state: {...state, phase: 'closed', sendWindows: new Map()},
    commands: [{type: 'close', reason}],
  };
}

/**
 * Returns the text that a node signs. It contains both nonces and the signer's
 * id, which prevents replaying a proof or reflecting it to its sender.
 */
function buildProofText(nodeId: string, own: string, other: string): string {
  return `figfall-link/${nodeId}/${own}/${other}`;
}

function onHello(
  state: LinkSessionState,
  frame: Frame<'hello'>,
  options: LinkSessionOptions,
): Step {
  if (state.phase !== 'awaiting-hello')
    return close(state, 'received a second hello frame');
  if (frame.version !== LINK.PROTOCOL_VERSION) {
    return close(
      state,
      `the peer uses protocol version ${frame.version}, expected ${LINK.PROTOCOL_VERSION}`,
    );
  }
  if (frame.node.id === options.node.id || frame.nonce === state.nonce) {
    return close(state, 'the peer has the same node id or nonce as this node');
  }
  const text = buildProofText(options.node.id, state.nonce, frame.nonce);
  return {
    state: {
      ...state,
      phase: 'awaiting-proof',
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
  if (state.phase !== 'awaiting-proof' || !peer || !peerNonce) {
    return close(
      state,
      'received a proof frame before hello or after the handshake',
    );
  }
  const text = buildProofText(peer.id, peerNonce, state.nonce);
  if (!options.verify(text, frame.mac)) {
    return close(state, "the peer's proof does not match the shared link key");
  }
  return {
    state: {...state, phase: 'established'},
    commands: [{type: 'established', peer}],
  };
}

/** Handshake steps: both peers prove that they have the shared link key. */
export const linkHandshake = {close, onHello, onProof};
