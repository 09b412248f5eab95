import type {Failure} from '@figfall/decisions';

/** Returns the JSON form in which callers see a failure. */
export function failureBody(failure: Failure) {
  const {kind, message, ran, retryAfterMs} = failure;
  return {error: {kind, message, ran, retry_after_ms: retryAfterMs}};
}
