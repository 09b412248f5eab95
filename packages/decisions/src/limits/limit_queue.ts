import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';

/** A request that waits for a limited server. */
interface Waiting {
  /** Requests of one flow share their turns; see `join`. */
  readonly flow: string;
  /** Position in virtual time; the smallest goes first. */
  readonly startTag: number;
  readonly sequence: number;
  /** Monotonic time in milliseconds. */
  readonly joinedAt: number;
  /** True once it has been found that its turn may come in time. */
  readonly isAdmitted: boolean;
}

/** Start tag of a resumed stream, before those of all flows. */
const RESUMED_TAG = -1;

interface LimitQueueState {
  readonly waiting: ReadonlyMap<string, Waiting>;
  readonly virtualTime: number;
  /** Finish tag of the last request of each flow that was sent. */
  readonly finishTags: ReadonlyMap<string, number>;
  readonly sequence: number;
}

type WaitingById = LimitQueueState['waiting'];

/** Positions by request id, worked out once for each set of requests. */
const positionsOf = new WeakMap<WaitingById, ReadonlyMap<string, number>>();

function positions(waiting: WaitingById): ReadonlyMap<string, number> {
  const known = positionsOf.get(waiting);
  if (known) return known;
  const ids = [...waiting]
    .sort(([, a], [, b]) => a.startTag - b.startTag || a.sequence - b.sequence)
    .map(([requestId]) => requestId);
  const found = new Map(ids.map((requestId, i) => [requestId, i]));
  positionsOf.set(waiting, found);
  return found;
}

/** Start tag of a flow's next request: after those that wait or were sent. */
function nextTag(state: LimitQueueState, flow: string): number {
  const waitingTags = [...state.waiting.values()]
    .filter(other => other.flow === flow)
    .map(({startTag}) => startTag + 1);
  const sentTag = state.finishTags.get(flow) ?? 0;
  return Math.max(state.virtualTime, sentTag, ...waitingTags);
}

/**
 * Requests of one gateway that wait for limited servers of a service, by
 * start-time fair queueing over flows (Goyal, Vin, Cheng, SIGCOMM 1996), where
 * each request costs one turn.
 */
export const limitQueue = {
  empty(): LimitQueueState {
    return {
      waiting: new Map(),
      virtualTime: 0,
      finishTags: new Map(),
      sequence: 0,
    };
  },

  /** Adds a request unless it waits; a resumed stream goes before all flows. */
  join(
    state: LimitQueueState,
    requestId: string,
    {flow, isResumed}: {readonly flow: string; readonly isResumed: boolean},
    now: number,
  ): LimitQueueState {
    if (state.waiting.has(requestId)) return state;
    const sequence = state.sequence + 1;
    const startTag = isResumed ? RESUMED_TAG : nextTag(state, flow);
    const entry = {flow, startTag, sequence, joinedAt: now, isAdmitted: false};
    return {
      ...state,
      sequence,
      waiting: mapWith(state.waiting, requestId, entry),
    };
  },

  /** Marks a request whose turn may come in time. */
  admit(state: LimitQueueState, requestId: string): LimitQueueState {
    const entry = state.waiting.get(requestId);
    if (!entry) return state;
    const admitted = {...entry, isAdmitted: true};
    return {...state, waiting: mapWith(state.waiting, requestId, admitted)};
  },

  /** Number of requests whose turns come before that of a waiting request. */
  position({waiting}: LimitQueueState, requestId: string): number {
    return positions(waiting).get(requestId) ?? 0;
  },

  /** Removes a request that was sent. */
  serve(state: LimitQueueState, requestId: string): LimitQueueState {
    const entry = state.waiting.get(requestId);
    if (!entry) return state;
    const {flow, startTag} = entry;
    const virtualTime = Math.max(state.virtualTime, startTag);
    const finishTags = [...state.finishTags]
      .filter(([other, tag]) => other !== flow && tag > virtualTime)
      .concat(startTag === RESUMED_TAG ? [] : [[flow, startTag + 1]]);
    return {
      ...state,
      virtualTime,
      finishTags: new Map(finishTags),
      waiting: mapWithout(state.waiting, requestId),
    };
  },

  /** Removes a request that was not sent. */
  leave(state: LimitQueueState, requestId: string): LimitQueueState {
    return {...state, waiting: mapWithout(state.waiting, requestId)};
  },
};
