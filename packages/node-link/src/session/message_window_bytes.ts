import type {PeerMessage} from '../messages/peer_message.js';

/**
 * Returns the bytes that a message counts against its stream's window. Only
 * request bodies and generated tokens are flow-controlled; all others count 0.
 */
export function messageWindowBytes(message: PeerMessage): number {
  if (message.type === 'body') return message.bytes.byteLength;
  if (message.type === 'tokens') {
    return message.texts.reduce((sum, text) => sum + text.length, 0);
  }
  return 0;
}
