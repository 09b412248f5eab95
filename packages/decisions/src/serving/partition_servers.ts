import type {Candidate} from './candidate.js';
import type {PromptRequest} from './prompt_request.js';
import {sharedStreams} from './shared_streams.js';

/** Fewest servers that are set aside for short prompts. */
const SHORT_SERVERS_MIN = 2;

/** Upper limit of this minimum, as a share of all servers. */
const SHORT_MIN_SHARE = 0.25;

/** Largest share of all servers that is set aside for short prompts. */
const SHORT_MAX_SHARE = 0.75;

/** Servers by their current purpose. */
interface PartitionedServers {
  /** Servers that are set aside for short prompts. */
  readonly shortPromptServers: readonly Candidate[];
  /** Warm servers for prompts that stall other streams on their server. */
  readonly longPromptServers: readonly Candidate[];
}

/**
 * Partitions the servers between short and long prompts. The share of short
 * prompts changes from second to second. Short prompts therefore get as many
 * servers as their current streams need, or those that their arrivals lead to,
 * if these are more; those with the most such streams first. Meant for a long
 * prompt, which is left some servers.
 */
export function partitionServers(
  candidates: readonly Candidate[],
  {engine, demand}: PromptRequest,
): PartitionedServers {
  const running = candidates.reduce(
    (sum, {load}) => sum + load.shortPromptStreams,
    0,
  );
  const streams = Math.max(running, demand?.shortStreams ?? 0);
  const min = Math.min(
    SHORT_SERVERS_MIN,
    Math.ceil(candidates.length * SHORT_MIN_SHARE),
  );
  const wanted = Math.ceil((streams + 1) / sharedStreams(engine));
  const max = Math.floor(candidates.length * SHORT_MAX_SHARE);
  const count = Math.max(min, Math.min(max, wanted));
  const sorted = candidates.toSorted(
    (a, b) =>
      b.load.shortPromptStreams - a.load.shortPromptStreams ||
      a.load.backlogMs - b.load.backlogMs ||
      (a.server.id < b.server.id ? -1 : 1),
  );
  const isWarm = (candidate: Candidate) => !candidate.isCold;
  return {
    shortPromptServers: sorted.slice(0, count),
    longPromptServers: sorted.slice(count).filter(isWarm),
  };
}
