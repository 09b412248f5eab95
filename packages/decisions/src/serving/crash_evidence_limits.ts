/** How long suspects of one kind are refused and remembered. */
export interface CrashEvidenceLimits {
  /** Milliseconds for which a key is blocked before its first trial. */
  readonly blockMs: number;
  /** Milliseconds after which a key that is not blocked is forgotten. */
  readonly suspectTtlMs: number;
}
