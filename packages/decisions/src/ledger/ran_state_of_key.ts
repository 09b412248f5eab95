import type {RanState} from '../errors/ran_state.js';

/** State of a key in the ledger at the time of a refusal. */
type LedgerKeyState = 'absent' | 'claimed' | 'done' | 'unreadable';

/**
 * Keys older than this may have been sent before, and the earlier request may
 * have run.
 */
const RESEND_AGE_MS = 1_000;

/**
 * Returns whether the request of a key ran, for a refusal. The refused attempt
 * did not run, but an earlier attempt with the same key may have.
 */
export function ranStateOfKey(
  keyState: LedgerKeyState,
  keyAgeMs: number,
): RanState {
  const ranStates: Record<LedgerKeyState, RanState> = {
    absent: 'no',
    claimed: 'unknown',
    done: 'yes',
    unreadable: keyAgeMs <= RESEND_AGE_MS ? 'no' : 'unknown',
  };
  return ranStates[keyState];
}
