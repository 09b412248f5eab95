/** A request that is under way. */
export interface CallHandle {
  readonly handleDisconnect: () => void;
  readonly handleDrain: () => void;
}
