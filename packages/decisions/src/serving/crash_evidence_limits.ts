/** How long suspects of one kind are refused and remembered. */
export interface CrashEvidenceLimits {
  /** Milliseconds for which a key is blocked before its first trial. */
  readonly blockMs: number;
  /**
   * Milliseconds before each of the first trials of a key whose guilt is in
   * doubt, in order; later ones follow `blockMs`.
   * @default none
   */
  readonly doubtfulTrialsMs?: readonly number[];
  /** Milliseconds after which a key that is not blocked is forgotten. */
  readonly suspectTtlMs: number;
}
