/**
 * Milliseconds that are left to read the store, and to try again on another
 * connection, before a change has to be in force.
 */
const READ_RESERVE_MS = 400;

interface PropagationBounds {
  /**
   * Milliseconds after which a new configuration has to be in force.
   * @default drainMs
   */
  readonly configPropagationMs?: number;
  /** Milliseconds after which a server that is gone must get no requests. */
  readonly drainMs: number;
}

/**
 * Milliseconds after which a gateway that relies on others has to hear that its
 * copy is whole, or else read the store. A change that it missed is younger than
 * what it relies on, so it is known within the bounds.
 */
export function copyMaxAgeMs(bounds: PropagationBounds): number {
  const {drainMs, configPropagationMs = drainMs} = bounds;
  return Math.max(0, Math.min(configPropagationMs, drainMs) - READ_RESERVE_MS);
}
