import type {PromptRequest} from './prompt_request.js';

/** Milliseconds left for an event that is on time. */
export function targetLeftMs(request: PromptRequest): number {
  const {sinceLastEventMs, latencyTargetMs, pauseMs, waitedMs} = request;
  return sinceLastEventMs === undefined
    ? latencyTargetMs - waitedMs
    : pauseMs - sinceLastEventMs;
}
