import {createHash} from 'node:crypto';

/** Hexadecimal digits of a fingerprint. */
const FINGERPRINT_LENGTH = 32;

/**
 * Hashes the parts of a request, so that any node recognizes the same request
 * when it is sent again.
 */
export function computeFingerprint(
  ...parts: readonly (string | Uint8Array)[]
): string {
  const hash = createHash('sha256');
  parts.forEach(part => hash.update(part).update('\u0000'));
  return hash.digest('hex').slice(0, FINGERPRINT_LENGTH);
}
