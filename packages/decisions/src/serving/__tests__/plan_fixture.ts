import type {BackendServer} from '../backend_server.js';
import type {Candidate} from '../candidate.js';
import type {EngineProfile} from '../engine_profile.js';
import {fleetLoad} from '../fleet_load.js';
import type {PromptRequest} from '../prompt_request.js';
import type {ServerLoad} from '../server_load.js';

/** Prefills 5,000 tokens in 31 ms and 154,000 tokens in 3 s. */
const ENGINE: EngineProfile = {
  slots: 11,
  kvCacheTokens: 315_000,
  stepMs: 0.85,
  stepMsPerSequence: 0.006,
  prefillTokensPerMs: 177,
  attentionMsPerMillionPairs: 0.184,
  stepsPerPass: 51,
};

const IDLE_LOAD = fleetLoad.serverLoad(fleetLoad.empty(), 'any', 0);

function candidate(id: string, load: Partial<ServerLoad> = {}): Candidate {
  const server: BackendServer = {
    id,
    service: 'pool',
    host: '127.0.0.1',
    port: 1,
    zone: 'nord',
    state: 'ready',
    slots: 11,
    coldUntil: 0,
  };
  return {server, load: {...IDLE_LOAD, ...load}, failureRate: 0, isCold: false};
}

function request(
  promptTokens: number,
  options: Partial<PromptRequest> = {},
): PromptRequest {
  return {
    engine: ENGINE,
    promptTokens,
    outputTokens: 1_000,
    latencyTargetMs: 300,
    pauseMs: 250,
    zone: 'nord',
    waitedMs: 0,
    eventTimeoutMs: 12_000,
    lowestOtherRank: Infinity,
    ...options,
  };
}

/** Creates `count` candidates with the same load. */
function fleet(count: number, load: Partial<ServerLoad> = {}): Candidate[] {
  return Array.from({length: count}, (_, i) => candidate(`i-${i}`, load));
}

const STREAMS: Partial<ServerLoad> = {
  running: 3,
  decoding: 3,
  shortPromptStreams: 3,
  streams: Array.from({length: 3}, () => ({pauseMs: 250, worth: 1})),
};

/** Candidates, loads and prompt requests for tests of placement. */
export const planFixture = {candidate, engine: ENGINE, fleet, request, STREAMS};
