/** Options of an agent's lease for orders to its backend server. */
export interface OrderLeaseOptions {
  /** Agent id and incarnation of this process. */
  readonly holder: string;
  /** Milliseconds for which a lease is valid after each renewal. */
  readonly leaseMs: number;
  /** Maximum duration of an order in milliseconds. */
  readonly maxOrderMs: number;
  /** False if the backend server ignores fencing numbers. */
  readonly checksFencing: boolean;
}
