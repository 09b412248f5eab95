import type {slotTimes} from './slot_times.js';

/**
 * Milliseconds for which a request is sent ahead of a slot in any case. A
 * waiting request is evaluated every 20 ms, and a change takes as long to pass.
 */
const AHEAD_MS = 40;

/** Share of the time left within which the slot of a new request must be. */
const ADMITTED_SHARE = 0.8;

interface SlotRequest {
  /** Requests of all gateways that go first. */
  readonly position: number;
  readonly times: ReturnType<typeof slotTimes>;
  /** Milliseconds for which a request takes a slot; undefined if not known. */
  readonly meanMs?: number;
  /** Milliseconds after which a start is too late for the latency target. */
  readonly targetLeftMs: number;
  /** Milliseconds after which a start is too late for the caller. */
  readonly callerLeftMs: number;
  /** True if it has been found that its slot will be free in time. */
  readonly isAdmitted: boolean;
}

type Verdict =
  | {readonly type: 'start'}
  | {
      readonly type: 'wait' | 'refuse';
      /** Milliseconds until a slot for the request is predicted. */
      readonly slotMs: number;
    };

/**
 * Decides on a short prompt or a plain request: send it now, let it wait for a
 * slot, or reject it at once because its slot would be free too late. Answers
 * the load of all gateways on the servers of one service. Where too little is
 * known to predict a slot, the request is sent.
 */
export function judgeSlot({
  position,
  times: {free, spare, untilFreeMs},
  meanMs,
  targetLeftMs,
  callerLeftMs,
  isAdmitted,
}: SlotRequest): Verdict {
  // A slot that another gateway takes first delays the start by this margin.
  const isTooLate = isAdmitted && callerLeftMs < AHEAD_MS;
  const isFree = position < free && !isTooLate;
  if (isFree || meanMs === undefined || untilFreeMs.length === 0) {
    return {type: 'start'};
  }
  const slots = untilFreeMs.length;
  const slotMs =
    (untilFreeMs[position % slots] ?? 0) +
    Math.floor(position / slots) * meanMs;
  const aheadMs = Math.min(
    callerLeftMs - AHEAD_MS,
    Math.max(AHEAD_MS, targetLeftMs),
  );
  if (position < free + spare && slotMs <= aheadMs) return {type: 'start'};
  const share = isAdmitted ? 1 : ADMITTED_SHARE;
  const isInTime = slotMs <= callerLeftMs * share && !isTooLate;
  const type = isInTime ? 'wait' : 'refuse';
  return {type, slotMs};
}
