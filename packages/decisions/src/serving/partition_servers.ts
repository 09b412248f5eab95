import type {Candidate} from './candidate.js';

/** Fewest servers that are kept for short prompts. */
const QUICK_SERVERS_MIN = 2;

/** Share of all servers that this minimum may take. */
const QUICK_SHARE_MIN = 0.25;

/** Share of all servers that are kept for short prompts at the most. */
const QUICK_SHARE_MAX = 0.75;

/** Streams with short prompts that one server takes well. */
const STREAMS_PER_SERVER = 6;

/** Servers by what they are for at the moment. */
interface PartitionedServers {
  /** Servers where short prompts gather. */
  readonly shortPromptServers: readonly Candidate[];
  /** Servers for prompts that stall the streams beside them. */
  readonly longPromptServers: readonly Candidate[];
}

/**
 * Divides the servers between short and long prompts. Load: the share of short
 * ones changes from second to second, so those servers are for short prompts
 * that have most of their streams, as many as these streams need.
 */
export function partitionServers(
  candidates: readonly Candidate[],
): PartitionedServers {
  const streams = candidates.reduce(
    (sum, {load}) => sum + load.shortPromptStreams,
    0,
  );
  const least = Math.min(
    QUICK_SERVERS_MIN,
    Math.ceil(candidates.length * QUICK_SHARE_MIN),
  );
  const wanted = Math.ceil((streams + 1) / STREAMS_PER_SERVER);
  const most = Math.floor(candidates.length * QUICK_SHARE_MAX);
  const count = Math.max(least, Math.min(most, wanted));
  const ordered = candidates.toSorted(
    (a, b) =>
      b.load.shortPromptStreams - a.load.shortPromptStreams ||
      a.load.backlogMs - b.load.backlogMs ||
      (a.server.id < b.server.id ? -1 : 1),
  );
  const warm = (candidate: Candidate) => !candidate.isCold;
  return {
    shortPromptServers: ordered.slice(0, count),
    longPromptServers: ordered.slice(count).filter(warm),
  };
}
