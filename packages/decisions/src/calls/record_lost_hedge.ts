import {mayHaveRun} from '../errors/may_have_run.js';
import type {CallState} from './call_state.js';

/** Whatever becomes of the current attempt, the request may have run by now. */
export function recordLostHedge(state: CallState): CallState {
  return {
    ...state,
    ran: mayHaveRun(state.ran),
    ranBeforeAttempt: mayHaveRun(state.ranBeforeAttempt),
  };
}
