/** Milliseconds before a server's own timeout at which a connection is closed. */
const MARGIN_MS = 1_000;

const TIMEOUT_HINT = /(?:^|[\s,])timeout=(\d+)/;

/**
 * Milliseconds for which a connection may lie idle: by the `Keep-Alive` header
 * of its last response, and `maxMs` at most; 0 if it must not be used again. A
 * request that is sent as the server closes may or may not have run.
 */
export function idleLimitMs(
  keepAlive: string | undefined,
  maxMs: number,
): number {
  const seconds = TIMEOUT_HINT.exec(keepAlive ?? '')?.[1];
  if (seconds === undefined) return maxMs;
  return Math.min(maxMs, Math.max(0, Number(seconds) * 1_000 - MARGIN_MS));
}
