import type {Candidate} from './candidate.js';
import type {PromptRequest} from './prompt_request.js';

/**
 * Candidates whose streams of less urgent short prompts are not counted: no
 * servers are set aside for these where a more urgent prompt waits.
 */
export function withoutLessUrgent(
  candidates: readonly Candidate[],
  {priority}: PromptRequest,
): readonly Candidate[] {
  if (!priority || priority.levels === 1) return candidates;
  return candidates.map(candidate => {
    const lessUrgent = candidate.load.streams.filter(
      ({isShort, level = Infinity}) => isShort && level > priority.level,
    );
    const shortPromptStreams =
      candidate.load.shortPromptStreams - lessUrgent.length;
    return {...candidate, load: {...candidate.load, shortPromptStreams}};
  });
}
