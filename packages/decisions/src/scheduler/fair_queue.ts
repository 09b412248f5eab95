import type {ScheduledCall} from './scheduled_call.js';

/** A queued call with its start and finish tags in virtual time. */
interface QueuedCall {
  readonly call: ScheduledCall;
  readonly startTag: number;
  readonly finishTag: number;
}

/** A queue that shares prompt tokens fairly between workspaces. */
interface QueueState {
  readonly items: readonly QueuedCall[];
  readonly virtualTime: number;
  /** Prompt tokens of all queued calls. */
  readonly tokens: number;
}

function startTagFor(state: QueueState, workspace: string): number {
  const own = state.items.filter(item => item.call.workspace === workspace);
  return own.reduce(
    (tag, item) => Math.max(tag, item.finishTag),
    state.virtualTime,
  );
}

function removeItem(state: QueueState, taken: QueuedCall): QueueState {
  return {
    items: state.items.filter(item => item !== taken),
    virtualTime: Math.max(state.virtualTime, taken.startTag),
    tokens: state.tokens - taken.call.promptTokens,
  };
}

/**
 * Start-time fair queueing over workspaces. The cost of an operation depends
 * on the queue length, which admission bounds, and not on the number of
 * workspaces or tokens. Source: Goyal, Vin, Cheng, "Start-time Fair Queueing",
 * SIGCOMM 1996.
 */
export const fairQueue = {
  empty(): QueueState {
    return {items: [], virtualTime: 0, tokens: 0};
  },

  /** Adds a call. A workspace's share is proportional to `weight` (above 0). */
  enqueue(state: QueueState, call: ScheduledCall, weight: number): QueueState {
    const startTag = startTagFor(state, call.workspace);
    const finishTag = startTag + Math.max(1, call.promptTokens) / weight;
    return {
      ...state,
      items: [...state.items, {call, startTag, finishTag}],
      tokens: state.tokens + call.promptTokens,
    };
  },

  /** Takes the eligible call with the smallest start tag, if there is one. */
  dequeue(
    state: QueueState,
    isEligible: (call: ScheduledCall) => boolean,
  ): {state: QueueState; call?: ScheduledCall} {
    const next = state.items
      .filter(item => isEligible(item.call))
      .reduce<QueuedCall | undefined>(
        (best, item) => (best && best.startTag <= item.startTag ? best : item),
        undefined,
      );
    if (!next) return {state};
    return {state: removeItem(state, next), call: next.call};
  },

  /** Removes a call at any position, without advancing virtual time. */
  remove(state: QueueState, callId: string): QueueState {
    const found = state.items.find(item => item.call.callId === callId);
    if (!found) return state;
    return {...removeItem(state, found), virtualTime: state.virtualTime};
  },

  /** Returns the queued calls in order of arrival. */
  calls(state: QueueState): ScheduledCall[] {
    return state.items.map(item => item.call);
  },
};
