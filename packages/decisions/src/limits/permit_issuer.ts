import {mapWith} from '../shared/map_with.js';
import type {PermitIssuerState} from './permit_issuer_state.js';
import type {PermitRequest} from './permit_request.js';
import {PERMIT_TIMING} from './permit_timing.js';

/** Permits that may be saved up or outstanding, whatever the limit. */
const BURST_MIN = 2;

/** Seconds of the limit that may be saved up or outstanding beyond these. */
const BURST_SECONDS = 0.5;

/** Smallest balance that counts as a whole permit, despite rounding. */
const WHOLE_PERMIT = 1 - 1e-9;

interface IssuerLimits {
  /** Requests a second that the server takes from all gateways. */
  readonly perSecond: number;
  /** Number of gateways that have a share, linked or not. */
  readonly gateways: number;
}

type Usage = Omit<PermitRequest, 'serverId' | 'processStartedAt'>;

interface Issued {
  readonly state: PermitIssuerState;
  /** Permits handed out, by the id of the gateway. */
  readonly counts: ReadonlyMap<string, number>;
}

/** Removes shares that have expired, and permits that were heard of no more. */
function withoutExpired(
  state: PermitIssuerState,
  now: number,
): PermitIssuerState {
  const shares = [...state.shares]
    .filter(([, {until}]) => until > now)
    .map(([gateway, share]) => {
      const isForgotten = now - share.issuedAt > PERMIT_TIMING.OUTSTANDING_MS;
      return [
        gateway,
        isForgotten ? {...share, outstanding: 0} : share,
      ] as const;
    });
  return {...state, shares: new Map(shares)};
}

function ratePerSecond(
  {shares}: PermitIssuerState,
  {perSecond, gateways}: IssuerLimits,
): number {
  return perSecond * Math.min(1, shares.size / Math.max(1, gateways));
}

/**
 * Adds the permits of the time that has passed. Saved and outstanding permits
 * together are bounded, as all of them may be used at once.
 */
function refill(
  before: PermitIssuerState,
  limits: IssuerLimits,
  now: number,
): PermitIssuerState {
  const state = withoutExpired(before, now);
  const elapsedS = Math.max(0, now - state.updatedAt) / 1_000;
  const outstanding = [...state.shares.values()].reduce(
    (sum, share) => sum + share.outstanding,
    0,
  );
  const {perSecond} = limits;
  const burst = perSecond === 0 ? 0 : BURST_MIN + perSecond * BURST_SECONDS;
  const added = elapsedS * ratePerSecond(state, limits);
  const tokens = Math.min(burst - outstanding, state.tokens + added);
  return {...state, tokens, updatedAt: Math.max(now, state.updatedAt)};
}

/** The waiting gateway that got a permit longest ago. */
function nextInTurn({shares}: PermitIssuerState) {
  return [...shares]
    .filter(([, {waiting}]) => waiting > 0)
    .reduce<[string, number] | undefined>(
      (best, [gateway, {lastTurn}]) =>
        best && best[1] <= lastTurn ? best : [gateway, lastTurn],
      undefined,
    )?.[0];
}

/** Hands out one permit if there is one and a gateway waits for it. */
function issueOne(issued: Issued, now: number): Issued | undefined {
  const {state, counts} = issued;
  const gateway = nextInTurn(state);
  const share = gateway === undefined ? undefined : state.shares.get(gateway);
  if (gateway === undefined || !share) return undefined;
  if (state.tokens < WHOLE_PERMIT) return undefined;
  const turns = state.turns + 1;
  const next = {
    ...share,
    waiting: share.waiting - 1,
    outstanding: share.outstanding + 1,
    issuedAt: now,
    lastTurn: turns,
  };
  return {
    state: {
      ...state,
      turns,
      tokens: state.tokens - 1,
      shares: mapWith(state.shares, gateway, next),
    },
    counts: mapWith(counts, gateway, (counts.get(gateway) ?? 0) + 1),
  };
}

/**
 * Hands out the permits of one backend server to all gateways. Each gateway has
 * an equal share of the server's limit and leases it to the issuer that it knows;
 * an issuer's rate is the sum of the shares that it has been leased. However the
 * views of gateways differ, they add up to the limit. Waiting gateways take
 * turns. Answers the load of all gateways together on that server.
 */
export const permitIssuer = {
  /** An issuer that has neither shares nor permits yet. */
  create(now: number): PermitIssuerState {
    return {tokens: 0, updatedAt: now, shares: new Map(), turns: 0};
  },

  /** Records a gateway's message, which also leases its share. */
  request(
    before: PermitIssuerState,
    gateway: string,
    {waiting, used, returned, unpermitted}: Usage,
    limits: IssuerLimits,
    now: number,
  ): PermitIssuerState {
    const state = refill(before, limits, now);
    const known = state.shares.get(gateway);
    const outstanding = known?.outstanding ?? 0;
    const given = Math.min(returned, outstanding);
    const share = {
      until: now + PERMIT_TIMING.LEASE_MS,
      waiting,
      outstanding: Math.max(0, outstanding - used - returned),
      issuedAt: known?.issuedAt ?? now,
      lastTurn: known?.lastTurn ?? 0,
    };
    const tokens = state.tokens + given - unpermitted;
    return {...state, tokens, shares: mapWith(state.shares, gateway, share)};
  },

  /** Hands out the permits that there are to gateways that wait. */
  issue(before: PermitIssuerState, limits: IssuerLimits, now: number): Issued {
    let issued: Issued = {
      state: refill(before, limits, now),
      counts: new Map(),
    };
    for (;;) {
      const next = issueOne(issued, now);
      if (!next) return issued;
      issued = next;
    }
  },

  /** Permits that gateways other than `gateway` wait for. */
  othersWaiting({shares}: PermitIssuerState, gateway: string): number {
    return [...shares]
      .filter(([id]) => id !== gateway)
      .reduce((sum, [, {waiting}]) => sum + waiting, 0);
  },

  ratePerSecond,
};
