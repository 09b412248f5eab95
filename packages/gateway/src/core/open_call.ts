/** A request that is under way. */
export interface OpenCall {
  readonly callerGone: () => void;
  readonly drained: () => void;
}
