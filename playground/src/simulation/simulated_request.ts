/** A prompt of a simulated load. */
export interface SimulatedRequest {
  readonly id: string;
  readonly kind: string;
  /** Milliseconds from the start of the run to the arrival. */
  readonly arrivalMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Latency target of the first event, in milliseconds. */
  readonly targetMs: number;
  /** Longest pause between two events that still counts as on time. */
  readonly pauseMs: number;
  /** Milliseconds after which the caller gives up. */
  readonly timeoutMs: number;
  /** Priority of the kind's route, 0 first. @default 5 */
  readonly priority?: number;
  /** Worth of a response that is on time. */
  readonly worth: number;
  /** Worth of a response that is complete but late. */
  readonly lateWorth: number;
}
