import type {Candidate} from '../serving/candidate.js';
import {engineTime} from '../serving/engine_time.js';
import {placementCosts} from '../serving/placement_costs.js';
import type {PromptRequest} from '../serving/prompt_request.js';
import {SHORT_PROMPT_MS} from '../serving/short_prompt_ms.js';
import type {RandomSource} from '../shared/random_source.js';
import {decideZone} from './decide_zone.js';

interface PromptZoneOptions {
  readonly isKnown: (zone: string) => boolean;
  readonly random: RandomSource;
}

/**
 * The candidate as if it decoded: the pass that a server has begun is part of
 * normal operation, and no reason to look for an idle server elsewhere.
 */
function inMidPass(candidate: Candidate): Candidate {
  const {load} = candidate;
  return {...candidate, load: {...load, decoding: Math.max(1, load.decoding)}};
}

/**
 * Decides the zone of a short prompt's primary by the waits predicted there.
 * Undefined for long prompts, which need servers of several zones, and where no
 * cost is set.
 */
export function decidePromptZone(
  candidates: readonly Candidate[],
  request: PromptRequest,
  options: PromptZoneOptions,
) {
  const {engine, promptTokens, zone, zones} = request;
  const prefillMs = engineTime.prefillMs(engine, promptTokens);
  if (!zones || prefillMs > SHORT_PROMPT_MS) return undefined;
  return decideZone({
    ...options,
    zone,
    candidates,
    waitCost: candidate =>
      placementCosts.wait(inMidPass(candidate), request, prefillMs),
    price: candidate => placementCosts.zone(candidate, request, prefillMs),
    prefillMs,
  });
}
