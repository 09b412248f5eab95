/** Prefilled prompt tokens, and the time during which any prefill ran. */
interface MeterState {
  readonly busyMs: number;
  readonly tokens: number;
  readonly inFlight: number;
  readonly updatedAt: number;
}

/** Busy time after which the weight of earlier samples is halved. */
const WINDOW_MS = 2_000;

/** Weight of the assumed rate, expressed as busy time. */
const PRIOR_MS = 500;

function advance(state: MeterState, now: number): MeterState {
  const elapsedMs = Math.max(0, now - state.updatedAt);
  const busyMs = state.busyMs + (state.inFlight > 0 ? elapsedMs : 0);
  const scale = busyMs > WINDOW_MS ? 0.5 : 1;
  return {
    ...state,
    busyMs: busyMs * scale,
    tokens: state.tokens * scale,
    updatedAt: now,
  };
}

/**
 * Measures the effective prefill rate of a backend server. Long prompts are
 * not measured: the engine runs short ones first, so the prefill time of a long
 * prompt includes other work.
 */
export const prefillMeter = {
  create(assumedRate: number, now: number): MeterState {
    const tokens = (assumedRate * PRIOR_MS) / 1_000;
    return {busyMs: PRIOR_MS, tokens, inFlight: 0, updatedAt: now};
  },

  startPrefill(state: MeterState, now: number): MeterState {
    const next = advance(state, now);
    return {...next, inFlight: next.inFlight + 1};
  },

  /** Records the end of a prefill of `tokens` prompt tokens (0 if aborted). */
  endPrefill(state: MeterState, tokens: number, now: number): MeterState {
    const next = advance(state, now);
    return {
      ...next,
      inFlight: Math.max(0, next.inFlight - 1),
      tokens: next.tokens + tokens,
    };
  },

  /** Returns the rate in tokens per second, at least 1. */
  tokensPerSecond(state: MeterState): number {
    return Math.max(1, (state.tokens / Math.max(1, state.busyMs)) * 1_000);
  },
};
