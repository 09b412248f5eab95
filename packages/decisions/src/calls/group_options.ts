/** Options of a prompt that is split over several engines. */
export interface GroupOptions {
  /** Time in milliseconds by which generation must have started. */
  readonly deadlineAt: number;
  /** Milliseconds between renewals of the reservations. */
  readonly renewIntervalMs: number;
}
