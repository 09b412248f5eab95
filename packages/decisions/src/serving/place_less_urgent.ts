import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import {placeSplitPrompt} from './place_split_prompt.js';
import {PREFILL_SERVERS_MAX} from './prefill_servers_max.js';
import type {PromptPlacement} from './prompt_placement.js';
import type {PromptRequest} from './prompt_request.js';
import {spareServers} from './spare_servers.js';
import {targetLeftMs} from './target_left_ms.js';

/** Share of the time until the latency target that the first event may take. */
const TARGET_SHARE = 0.6;

/** Largest backlog of a server that takes a part, in milliseconds. */
const BACKLOG_MAX_MS = 60;

/**
 * Places a less urgent prompt on servers that more urgent ones do not need, in
 * as few parts as are on time. Undefined if it can't be on time there now.
 */
export function placeLessUrgent(
  candidates: readonly Candidate[],
  request: PromptRequest,
): PromptPlacement | undefined {
  const spare = spareServers(candidates, request).filter(
    ({load, isCold}) => load.backlogMs <= BACKLOG_MAX_MS && !isCold,
  );
  const limitMs = targetLeftMs(request) * TARGET_SHARE;
  const totalMs = engineTime.prefillMs(request.engine, request.promptTokens);
  const countMin = Math.max(1, Math.ceil(totalMs / Math.max(1, limitMs)));
  const countMax = Math.min(PREFILL_SERVERS_MAX, spare.length);
  for (let count = countMin; count <= countMax; count += 1) {
    const placed = placeSplitPrompt(spare, request, count)?.placement;
    if (placed && placed.firstEventMs <= limitMs) return placed;
  }
  return undefined;
}
