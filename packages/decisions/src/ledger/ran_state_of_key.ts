import type {RanState} from '../errors/ran_state.js';

/** What the ledger says of a key at the time of a refusal. */
type LedgerFinding = 'absent' | 'claimed' | 'done' | 'unreadable';

/**
 * Age of a key in milliseconds beyond which a request with it may be a
 * resend of one that ran.
 */
const RESEND_AGE_MS = 1_000;

/**
 * Returns what a refusal may say of whether the request of a key ran. The
 * refused attempt did not run, but an earlier one with the same key may have.
 */
export function ranStateOfKey(
  finding: LedgerFinding,
  keyAgeMs: number,
): RanState {
  const answers: Record<LedgerFinding, RanState> = {
    absent: 'no',
    claimed: 'unknown',
    done: 'yes',
    unreadable: keyAgeMs <= RESEND_AGE_MS ? 'no' : 'unknown',
  };
  return answers[finding];
}
