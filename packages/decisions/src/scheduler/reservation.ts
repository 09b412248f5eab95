/** Memory of an engine that a group prompt holds for a time. */
export interface Reservation {
  readonly reservationId: string;
  /** Prompt tokens that are reserved. */
  readonly tokens: number;
  readonly expiresAt: number;
  /** False while running calls still hold the memory. */
  readonly granted: boolean;
}
