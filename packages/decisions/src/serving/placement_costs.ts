import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import {firstEventMs} from './first_event_ms.js';
import {levelWeight} from './level_weight.js';
import type {PromptRequest} from './prompt_request.js';
import {promptWorth} from './prompt_worth.js';
import {sharingCost} from './sharing_cost.js';
import {expectedBytes} from '../zones/expected_bytes.js';
import {zonePrice} from '../zones/zone_price.js';

/** Share of the latency target above which a response may be late. */
const SAFE_LATENCY_SHARE = 0.6;

/** Share of the accepted pause above which an event may be late. */
const SAFE_PAUSE_SHARE = 0.7;

/** Fixed cost of each further server that prefills a part. */
const HELPER_COST = 0.02;

/** Cost of a server whose slots are all taken. */
const FULL_COST = 0.3;

/** Cost of a server that fails all requests. */
const FAILURE_COST = 8;

/** Cost of sending a request to another zone where no transfer cost is set. */
const REMOTE_ZONE_COST = 0.005;

/**
 * Difference in cost that does not matter to a caller: a tenth of the latency
 * target, while the response is predicted to be on time.
 */
const NEAR_TIE_COST = 0.01;

/** Difference that each send costs which no other gateway knows of yet. */
const UNSEEN_SEND_COST = 0.015;

/** Upper limit of the difference. */
const NEAR_TIE_COST_MAX = 0.06;

/** Time until other gateways know of a send, in seconds. */
const ANNOUNCED_AFTER_S = 0.02;

/** Tolerance between helpers; it avoids the same order at all gateways. */
const HELPER_NEAR_TIE_COST = 0.005;

/** Cost of a cold server. */
const COLD_COST = 0.5;

/** Cost of each further latency target of delay, as a share of the value. */
const OVERRUN_WEIGHT = 0.2;

/** Weight of the latency, which ranks servers that are all on time. */
const LATENCY_WEIGHT = 0.1;

/**
 * Risk, from 0 to 1, of exceeding a limit when `share` of it is predicted to be
 * used. It is 0 up to `safeShare` and 1 from the limit.
 */
function risk(share: number, safeShare: number): number {
  return Math.min(1, Math.max(0, (share - safeShare) / (1 - safeShare))) ** 2;
}

/** Cost of the delay that a prefill causes to the streams on a server. */
function interference(
  {load, pace = 1}: Candidate,
  request: PromptRequest,
  prefillMs: number,
): number {
  const passMs =
    (engineTime.passMs(request.engine, load.decoding) + load.backlogMs) * pace;
  return load.streams.reduce((sum, {pauseMs, worth}) => {
    const before = risk(passMs / pauseMs, SAFE_PAUSE_SHARE);
    const after = risk((passMs + prefillMs * pace) / pauseMs, SAFE_PAUSE_SHARE);
    return sum + (after - before) * worth;
  }, 0);
}

/** Costs of placing prompts, relative to the value of a short response. */
export const placementCosts = {
  firstEventMs,

  /**
   * Difference in cost between primaries that is smaller than what the sends
   * of other gateways may change before they are announced.
   */
  primaryTolerance({demand}: PromptRequest): number {
    const unseen = (demand?.shortPerSecond ?? 0) * ANNOUNCED_AFTER_S;
    return Math.min(
      NEAR_TIE_COST_MAX,
      NEAR_TIE_COST + unseen * UNSEEN_SEND_COST,
    );
  },

  /** The same between helpers. */
  helperTolerance: HELPER_NEAR_TIE_COST,

  /** Cost of a response whose first event arrives after `ms` milliseconds. */
  lateness(
    request: Pick<
      PromptRequest,
      'latencyTargetMs' | 'priority' | 'promptTokens'
    >,
    ms: number,
  ): number {
    const share = ms / request.latencyTargetMs;
    const overrun = Math.max(0, share - 1) * OVERRUN_WEIGHT;
    return (
      levelWeight(request.priority) *
        promptWorth(request.promptTokens) *
        (risk(share, SAFE_LATENCY_SHARE) + overrun) +
      share * LATENCY_WEIGHT
    );
  },

  /** Cost of the recent failures of a server. */
  failure({failureRate}: Candidate): number {
    return failureRate * FAILURE_COST;
  },

  /** Cost of what a caller, and others, are predicted to wait for. */
  wait(
    candidate: Candidate,
    request: PromptRequest,
    prefillMs: number,
  ): number {
    const ms = firstEventMs(candidate, request, prefillMs);
    return (
      placementCosts.lateness(request, ms) +
      interference(candidate, request, prefillMs) +
      placementCosts.failure(candidate) +
      (candidate.isCold ? COLD_COST : 0)
    );
  },

  /** Cost of sending the request to the zone of a server. */
  zone(
    candidate: Candidate,
    request: PromptRequest,
    prefillMs: number,
  ): number {
    const {zones, zone, engine, outputTokens} = request;
    const to = candidate.server.zone;
    if (!zones) return to === zone ? 0 : REMOTE_ZONE_COST;
    const ms = firstEventMs(candidate, request, prefillMs);
    return zonePrice(zones.policy, {
      from: zone,
      to,
      bytes: expectedBytes.stream(
        zones.bodyBytes,
        outputTokens,
        engine.stepsPerPass,
      ),
      delayCost: delayMs =>
        placementCosts.lateness(request, ms + delayMs) -
        placementCosts.lateness(request, ms),
    });
  },

  /** Cost of a helper in another zone than its primary. */
  helperZone(
    candidate: Candidate,
    request: PromptRequest,
    {
      primaryZone,
      prefillMs,
      count,
    }: {
      readonly primaryZone: string;
      readonly prefillMs: number;
      /** Number of parts of the prompt. */
      readonly count: number;
    },
  ): number {
    const {zones} = request;
    if (!zones) return 0;
    const ms = candidate.load.backlogMs + prefillMs;
    return zonePrice(zones.policy, {
      from: primaryZone,
      to: candidate.server.zone,
      bytes: zones.bodyBytes / count,
      delayCost: delayMs =>
        (placementCosts.lateness(request, ms + delayMs) -
          placementCosts.lateness(request, ms)) /
        2,
    });
  },

  /** Cost of a server that receives the request and generates the response. */
  primary(
    candidate: Candidate,
    request: PromptRequest,
    prefillMs: number,
  ): number {
    const {load, failureRate, isCold} = candidate;
    return (
      placementCosts.lateness(
        request,
        firstEventMs(candidate, request, prefillMs),
      ) +
      interference(candidate, request, prefillMs) +
      failureRate * FAILURE_COST +
      (isCold ? COLD_COST : 0) +
      sharingCost(candidate, request) +
      FULL_COST * (load.running / request.engine.slots) ** 4 +
      placementCosts.zone(candidate, request, prefillMs)
    );
  },

  /** Cost of a server that only prefills a part. */
  helper(
    candidate: Candidate,
    request: PromptRequest,
    prefillMs: number,
  ): number {
    const {load, pace = 1} = candidate;
    const ms = (load.backlogMs + prefillMs) * pace;
    return (
      interference(candidate, request, prefillMs) +
      placementCosts.lateness(request, ms) / 2 +
      candidate.failureRate * FAILURE_COST +
      HELPER_COST
    );
  },
};
