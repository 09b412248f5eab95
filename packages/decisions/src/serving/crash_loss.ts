/** The loss of a server that ran a request. */
export interface CrashLoss {
  /** Identifies the crash, as requests of several gateways see it. */
  readonly crashId: string;
  /** Keys of a request that the server ran. */
  readonly keys: readonly string[];
  /** Milliseconds from sending the request to the loss. */
  readonly heldMs: number;
  /** True if the server had begun to answer. @default false */
  readonly hadEvents?: boolean;
}
