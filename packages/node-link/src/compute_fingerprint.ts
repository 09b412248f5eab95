import {createHash} from 'node:crypto';

/** Digits of a fingerprint. */
const FINGERPRINT_LENGTH = 32;

/** Names what a request consists of, so that nodes know it when it comes again. */
export function computeFingerprint(
  ...parts: readonly (string | Uint8Array)[]
): string {
  const hash = createHash('sha256');
  parts.forEach(part => hash.update(part).update('\u0000'));
  return hash.digest('hex').slice(0, FINGERPRINT_LENGTH);
}
