import type {Candidate} from './candidate.js';
import type {PromptRequest} from './prompt_request.js';
import {sharedStreams} from './shared_streams.js';

/** Cost of a server without short prompts, which suits long prompts. */
const UNSHARED_COST = 0.08;

/**
 * Share of the servers with long prompts from which short prompts keep clear
 * of the other servers.
 */
const MANY_LONG_SHARE = 0.05;

/** Share, from 0 to 1, by which short prompts are kept on few servers. */
function concentration({demand}: PromptRequest): number {
  if (!demand) return 1;
  const {servers, longServers, waiting} = demand;
  return Math.min(1, (longServers + waiting) / (servers * MANY_LONG_SHARE));
}

/**
 * Cost of the streams that a server lacks. Short prompts are kept together
 * where many long ones need servers without streams, and else are spread by
 * the cost of taken slots.
 */
export function sharingCost({load}: Candidate, request: PromptRequest): number {
  const shared = load.shortPromptStreams / sharedStreams(request.engine);
  return concentration(request) * UNSHARED_COST * (1 - Math.min(1, shared));
}
