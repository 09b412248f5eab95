import type {RanState} from './ran_state.js';

/** What is known of a request once a backend server may have run it. */
export function mayHaveRun(ran: RanState): RanState {
  return ran === 'no' ? 'unknown' : ran;
}
