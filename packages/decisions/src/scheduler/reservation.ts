/** Engine memory that is reserved for a prompt split over several engines. */
export interface Reservation {
  readonly reservationId: string;
  /** Reserved memory in tokens. */
  readonly tokens: number;
  /** Time in milliseconds at which the reservation ends unless extended. */
  readonly expiresAt: number;
  /** False while it waits for running calls to free memory. */
  readonly granted: boolean;
}
