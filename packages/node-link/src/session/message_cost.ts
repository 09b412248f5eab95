import type {PeerMessage} from '../messages/peer_message.js';

/** Returns the bytes of its stream's window that a message takes. */
export function messageCost(message: PeerMessage): number {
  if (message.type === 'body') return message.bytes.byteLength;
  if (message.type === 'tokens') {
    return message.texts.reduce((sum, text) => sum + text.length, 0);
  }
  return 0;
}
