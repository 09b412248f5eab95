/** Figures of the rule on the request rates that servers name. */
export const LIMIT_RULE = {
  /** Window in milliseconds in which the sum over all gateways is judged. */
  WINDOW_MS: 4_000,
  /** Milliseconds after which a named limit is in force at all gateways. */
  IN_FORCE_MS: 3_000,
  /** Requests that a limited server may get in a window. */
  allowed: (perSecond: number): number => 1.5 * perSecond * 4 + 5,
} as const;
