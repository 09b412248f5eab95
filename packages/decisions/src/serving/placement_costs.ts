import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import type {PromptRequest} from './prompt_request.js';
import {promptWorth} from './prompt_worth.js';

/** Share of the target time at which an answer begins to risk being late. */
const EARLY_SHARE = 0.6;

/** Share of the accepted pause at which a stream begins to risk a late one. */
const EASY_PAUSE_SHARE = 0.7;

/** Worth that one more server in a split must bring. */
const PART_COST = 0.02;

/** Cost of a server all of whose places are taken. */
const CROWD_COST = 0.3;

/** Cost of a server which fails all requests. */
const FAILURE_COST = 8;

/** Cost of sending to another availability zone. */
const ZONE_COST = 0.005;

/** Cost of a server without short streams, which long prompts can use. */
const UNPACKED_COST = 0.08;

/** Short streams that are gathered on one server. */
const PACKED_STREAMS = 6;

/** Cost of a cold server. */
const COLD_COST = 0.5;

/** Passes of a full server after which a place becomes free. */
const PASSES_PER_PLACE = 8;

/** Worth of a late answer's further delay by one target time. */
const LATENESS_SHARE = 0.2;

/** Weight of the time that is used, between servers that are all in time. */
const TIME_WEIGHT = 0.1;

/** Risk, from 0 to 1, that something due at 1 with value `share` is late. */
function risk(share: number, easy: number): number {
  return Math.min(1, Math.max(0, (share - easy) / (1 - easy))) ** 2;
}

/** Cost to the streams on a server of a longer scheduling pass. */
function disturbance(
  {load}: Candidate,
  query: PromptRequest,
  prefillMs: number,
): number {
  const passMs =
    engineTime.passMs(query.engine, load.decoding) + load.backlogMs;
  return load.streams.reduce((sum, {pauseMs, worth}) => {
    const before = risk(passMs / pauseMs, EASY_PAUSE_SHARE);
    const after = risk((passMs + prefillMs) / pauseMs, EASY_PAUSE_SHARE);
    return sum + (after - before) * worth;
  }, 0);
}

/** Time until a prompt that a server gets now has been read, in ms. */
function readyMs(
  {load}: Candidate,
  query: PromptRequest,
  prefillMs: number,
): number {
  const placesShort = Math.max(0, load.running + 1 - query.engine.slots);
  const passMs = engineTime.passMs(query.engine, load.decoding + 1);
  const currentMs = load.decoding > 0 ? passMs / 2 : 0;
  const placeMs = placesShort * passMs * PASSES_PER_PLACE;
  return currentMs + load.backlogMs + prefillMs + passMs + placeMs;
}

/** Costs of placing prompts, in worths of a short answer. */
export const placementCosts = {
  readyMs,

  /** Cost of an answer whose first event comes after `ms`. */
  lateness(query: PromptRequest, ms: number): number {
    const share = ms / query.latencyTargetMs;
    const beyond = Math.max(0, share - 1) * LATENESS_SHARE;
    return (
      promptWorth(query.promptTokens) * (risk(share, EARLY_SHARE) + beyond) +
      share * TIME_WEIGHT
    );
  },

  /** Cost of a server that gets the request itself. */
  first(candidate: Candidate, query: PromptRequest, prefillMs: number): number {
    const {load, failureRate: failureShare, isCold, server} = candidate;
    return (
      placementCosts.lateness(query, readyMs(candidate, query, prefillMs)) +
      disturbance(candidate, query, prefillMs) +
      failureShare * FAILURE_COST +
      (isCold ? COLD_COST : 0) +
      UNPACKED_COST *
        (1 - Math.min(1, load.shortPromptStreams / PACKED_STREAMS)) +
      CROWD_COST * (load.running / query.engine.slots) ** 4 +
      (server.zone === query.zone ? 0 : ZONE_COST)
    );
  },

  /** Cost of a server that reads a part. */
  part(candidate: Candidate, query: PromptRequest, prefillMs: number): number {
    const ms = candidate.load.backlogMs + prefillMs;
    return (
      disturbance(candidate, query, prefillMs) +
      placementCosts.lateness(query, ms) / 2 +
      candidate.failureRate * FAILURE_COST +
      PART_COST
    );
  },
};
