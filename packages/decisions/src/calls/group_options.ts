/** Options of a prompt that several engines hold. */
export interface GroupOptions {
  readonly deadlineAt: number;
  /** Milliseconds between renewals of the reservations. */
  readonly renewIntervalMs: number;
}
