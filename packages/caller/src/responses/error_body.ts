import type {Failure} from '@figfall/decisions';

/** Builds the JSON body of a failure as callers receive it. */
export function errorBody(failure: Failure) {
  const {kind, message, ran, retryAfterMs} = failure;
  return {error: {kind, message, ran, retry_after_ms: retryAfterMs}};
}
