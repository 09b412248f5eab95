/**
 * Milliseconds for which an idle connection is kept if its server names no
 * timeout; below the 5 s after which common servers close it.
 */
const DEFAULT_MS = 4_000;

/** Milliseconds before a server's own timeout at which a connection is closed. */
const MARGIN_MS = 1_000;

const TIMEOUT_HINT = /(?:^|[\s,])timeout=(\d+)/;

/**
 * Milliseconds for which a connection may lie idle, by the `Keep-Alive` header
 * of its last response; 0 if it must not be used again. A request that is sent
 * as the server closes may or may not have run.
 */
export function idleLimitMs(keepAlive: string | undefined): number {
  const seconds = TIMEOUT_HINT.exec(keepAlive ?? '')?.[1];
  if (seconds === undefined) return DEFAULT_MS;
  return Math.min(DEFAULT_MS, Math.max(0, Number(seconds) * 1_000 - MARGIN_MS));
}
