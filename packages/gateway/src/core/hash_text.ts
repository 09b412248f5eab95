import {createHash} from 'node:crypto';

/** Hashes text to an unsigned 32-bit integer, the same at all gateways. */
export function hashText(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE();
}
