/** Options of the lease under which an agent orders its backend server. */
export interface OrderLeaseOptions {
  readonly holder: string;
  readonly leaseMs: number;
  /** Milliseconds that the longest order can take. */
  readonly maxOrderMs: number;
  /** False where the backend server ignores fencing numbers. */
  readonly checksFencing: boolean;
}
