import type {Candidate} from './candidate.js';
import type {PromptRequest} from './prompt_request.js';

/** Streams of more urgent prompts that are planned for one server. */
const URGENT_STREAMS_PER_SERVER = 4;

/** Fewest servers that are kept free for more urgent prompts. */
const URGENT_SERVERS_MIN = 2;

/** Upper limit of this minimum, as a share of all servers. */
const URGENT_MIN_SHARE = 0.25;

/** Growth of the more urgent streams for which servers are kept free. */
const URGENT_GROWTH = 1.5;

function urgentStreams({load}: Candidate, level: number) {
  return load.streams.filter(
    stream => stream.level !== undefined && stream.level < level,
  );
}

/**
 * Servers that prompts of more urgent levels than `priority` do not need: they
 * run there now, or are about to, as many of their streams begin together. All
 * servers for the most urgent level.
 */
export function spareServers(
  candidates: readonly Candidate[],
  {priority}: PromptRequest,
): readonly Candidate[] {
  const level = priority?.level ?? 0;
  if (level === 0) return candidates;
  const counted = candidates.map(candidate => ({
    candidate,
    count: urgentStreams(candidate, level).length,
  }));
  const total = counted.reduce((sum, {count}) => sum + count, 0);
  const min = Math.min(
    URGENT_SERVERS_MIN,
    Math.ceil(candidates.length * URGENT_MIN_SHARE),
  );
  const needed = Math.max(
    min,
    Math.ceil((total * URGENT_GROWTH) / URGENT_STREAMS_PER_SERVER),
  );
  const unused = counted
    .filter(({count}) => count === 0)
    .map(({candidate}) => candidate)
    .toSorted(
      (a, b) =>
        a.load.backlogMs - b.load.backlogMs ||
        a.load.running - b.load.running ||
        (a.server.id < b.server.id ? -1 : 1),
    );
  const usedCount = candidates.length - unused.length;
  return unused.slice(Math.max(0, needed - usedCount));
}
