import type {ScheduledCall} from './scheduled_call.js';

/** A queued call with its start tag in the queue's virtual time. */
interface QueuedCall {
  readonly call: ScheduledCall;
  readonly startTag: number;
  readonly finishTag: number;
}

/** A bounded queue that is fair between workspaces by tokens. */
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

function without(state: QueueState, taken: QueuedCall): QueueState {
  return {
    items: state.items.filter(item => item !== taken),
    virtualTime: Math.max(state.virtualTime, taken.startTag),
    tokens: state.tokens - taken.call.promptTokens,
  };
}

/**
 * Start-time fair queueing over workspaces. The cost of a step follows the
 * bound of the queue, not the number of workspaces or tokens. Source: Goyal,
 * Vin, Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 */
export const fairQueue = {
  empty(): QueueState {
    return {items: [], virtualTime: 0, tokens: 0};
  },

  /** Adds a call; a larger weight gives its workspace a larger share. */
  enqueue(state: QueueState, call: ScheduledCall, weight: number): QueueState {
    const startTag = startTagFor(state, call.workspace);
    const finishTag = startTag + Math.max(1, call.promptTokens) / weight;
    return {
      ...state,
      items: [...state.items, {call, startTag, finishTag}],
      tokens: state.tokens + call.promptTokens,
    };
  },

  /** Takes the eligible call with the smallest start tag. */
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
    return {state: without(state, next), call: next.call};
  },

  /** Removes one call wherever it stands. */
  remove(state: QueueState, callId: string): QueueState {
    const found = state.items.find(item => item.call.callId === callId);
    if (!found) return state;
    return {...without(state, found), virtualTime: state.virtualTime};
  },

  calls(state: QueueState): ScheduledCall[] {
    return state.items.map(item => item.call);
  },
};
