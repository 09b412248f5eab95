import {ERROR_DEFINITIONS} from '../errors/error_definitions.js';
import type {Failure} from '../errors/failure.js';
import type {CallOptions} from './call_options.js';
import type {CallState} from './call_state.js';

/** Milliseconds before routing is tried again if no server can be chosen. */
const UNROUTED_PAUSE_MS = 100;

/** Milliseconds before servers are asked again after several refusals. */
const REFUSED_PAUSE_MS = 500;

type Reason = 'unrouted' | 'refused';

const PAUSES_MS: Readonly<Record<Reason, number>> = {
  unrouted: UNROUTED_PAUSE_MS,
  refused: REFUSED_PAUSE_MS,
};

/**
 * A stream that has begun and lost its server. It can't be refused any more, so
 * it waits for a server that goes on with it.
 */
export const resumeWait = {
  /** True if a stream waits for a server rather than failing with `failure`. */
  applies(
    {nextIndex, lastTokenAt}: CallState,
    failure: Failure,
    {resumeTimeoutMs}: CallOptions,
    now: number,
  ): boolean {
    const hasBegun = nextIndex > 0 && lastTokenAt !== undefined;
    const mayGoOn = ERROR_DEFINITIONS[failure.kind].retryElsewhere;
    return hasBegun && mayGoOn && now - lastTokenAt < resumeTimeoutMs;
  },

  /** State after a server has refused to go on with a stream. */
  countRefusal(state: CallState): CallState {
    return {...state, resumeRefusals: (state.resumeRefusals ?? 0) + 1};
  },

  /** True once a pause is due after each further refusal. */
  mustPause(
    {resumeRefusals = 0}: CallState,
    {maxOffers}: CallOptions,
  ): boolean {
    return resumeRefusals >= maxOffers;
  },

  /** State of a stream that is routed again after a pause. */
  begin(state: CallState, reason: Reason, now: number): CallState {
    const routeAt = now + PAUSES_MS[reason];
    return {...state, phase: 'routing', refusedBy: [], exclude: [], routeAt};
  },
};
