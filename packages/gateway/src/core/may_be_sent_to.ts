import type {Candidate} from '@figfall/decisions';

/** True if a server has no request rate, or a permit of it is at hand. */
export function mayBeSentTo({rateLimit}: Candidate): boolean {
  return rateLimit === undefined || rateLimit.permits > 0;
}
