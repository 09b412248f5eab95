/** What a gateway that leaves still does. */
type ShutdownPhase =
  /** It takes requests as before. */
  | 'accepting'
  /** It refuses new requests, and serves those that it has taken. */
  | 'finishing'
  /** It sends nothing more to backend servers, and waits for responses. */
  | 'closing'
  | 'ended';

interface BookedTime {
  /** False if the request must not run twice. */
  readonly idempotent: boolean;
  /** Milliseconds in which the operator wants the response. */
  readonly latencyTargetMs: number;
}

/** Milliseconds within which callers are routed to other gateways. */
const ACCEPT_MAX_MS = 2_800;

/** Share of a short grace period for which new requests are accepted. */
const ACCEPT_SHARE = 0.35;

/** Share of the grace period for which requests are sent to backend servers. */
const SEND_SHARE = 0.75;

/** Milliseconds by which to finish before the platform kills the process. */
const KILL_MARGIN_MAX_MS = 600;

/** Share of a short grace period by which to finish before its end. */
const KILL_MARGIN_SHARE = 0.25;

/** Latency targets that must be left for a request that can't be repeated. */
const LATENCY_TARGETS_LEFT = 2;

/** Timing of a gateway's shutdown, within the grace period of the platform. */
export const shutdownSchedule = {
  /** Milliseconds after the start of a shutdown at which it ends at the latest. */
  endMs(graceMs: number): number {
    const marginMs = Math.min(KILL_MARGIN_MAX_MS, graceMs * KILL_MARGIN_SHARE);
    return graceMs - marginMs;
  },

  /** Phase of a shutdown that started `elapsedMs` ago. */
  phase(elapsedMs: number, graceMs: number): ShutdownPhase {
    const acceptMs = Math.min(ACCEPT_MAX_MS, graceMs * ACCEPT_SHARE);
    if (elapsedMs < acceptMs) return 'accepting';
    if (elapsedMs >= shutdownSchedule.endMs(graceMs)) return 'ended';
    return elapsedMs < graceMs * SEND_SHARE ? 'finishing' : 'closing';
  },

  /** False if a request that can't be repeated might be cut by the end. */
  leavesTime(
    {idempotent, latencyTargetMs}: BookedTime,
    leftMs: number,
  ): boolean {
    return idempotent || leftMs >= latencyTargetMs * LATENCY_TARGETS_LEFT;
  },
};
