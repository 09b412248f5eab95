import type {Candidate} from './candidate.js';
import type {PromptRequest} from './prompt_request.js';

/** Share of an accepted pause that a part may take before urgent streams. */
const URGENT_PAUSE_SHARE = 0.15;

/**
 * Longest part, in milliseconds, that a less urgent prompt may prefill where
 * streams of more urgent prompts run or begin. Infinity where there are none.
 */
export function urgentPartMs(
  candidates: readonly Candidate[],
  {priority}: PromptRequest,
): number {
  const level = priority?.level ?? 0;
  const pauses = candidates
    .flatMap(({load}) => load.streams)
    .filter(stream => stream.level !== undefined && stream.level < level)
    .map(({pauseMs}) => pauseMs);
  return Math.min(...pauses) * URGENT_PAUSE_SHARE;
}
