/** A prompt of an emulated load. */
export interface SimulatedRequest {
  readonly id: string;
  readonly kind: string;
  readonly arrivalMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Milliseconds within which the first event is on time. */
  readonly targetMs: number;
  /** Longest pause in milliseconds between events that is on time. */
  readonly pauseMs: number;
  /** Milliseconds after which the caller leaves. */
  readonly timeoutMs: number;
  /** Worth of the answer on time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
}
