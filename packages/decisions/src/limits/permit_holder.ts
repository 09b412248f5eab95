import type {PermitGrant} from './permit_grant.js';
import type {PermitHolderState} from './permit_holder_state.js';
import type {PermitRequest} from './permit_request.js';
import {PERMIT_TIMING} from './permit_timing.js';

type Report = Omit<PermitRequest, 'serverId' | 'processStartedAt'>;
type Grant = Omit<PermitGrant, 'serverId' | 'processStartedAt'>;

/** Time in milliseconds for which a need for permits lasts. */
const WANTED_MS = 500;

/** Gives back permits that are too old, or that nobody here wants. */
function giveBackUnused(
  state: PermitHolderState,
  now: number,
): PermitHolderState {
  const kept =
    state.wantedUntil > now ? state.permits.filter(until => until > now) : [];
  const unused = state.permits.length - kept.length;
  return {...state, permits: kept, returned: state.returned + unused};
}

function waitingNow(state: PermitHolderState, now: number): number {
  if (state.wantedUntil <= now) return 0;
  return Math.max(0, state.wanted - state.permits.length);
}

/**
 * Leases the share to another issuer, once the former one has it no longer.
 * Requests without a permit still count at the new one.
 */
function changeIssuer(
  state: PermitHolderState,
  issuer: string,
  now: number,
): PermitHolderState | undefined {
  const isLeased = now - state.sentAt < PERMIT_TIMING.HANDOVER_MS;
  if (state.issuer !== undefined && isLeased) return undefined;
  const {unpermitted, wanted, wantedUntil} = state;
  const created = permitHolder.create();
  return {...created, issuer, unpermitted, wanted, wantedUntil};
}

/**
 * A gateway's side of the exchange of permits for one backend server: it leases
 * its share of the limit to one issuer at a time, asks for permits as requests
 * need them, and gives back what it doesn't use. Answers the load of this
 * gateway on that server.
 */
export const permitHolder = {
  create(): PermitHolderState {
    return {
      sentAt: -Infinity,
      heardAt: -Infinity,
      reported: 0,
      wanted: 0,
      wantedUntil: -Infinity,
      permits: [],
      used: 0,
      returned: 0,
      unpermitted: 0,
      othersWaiting: 0,
    };
  },

  /** Requests `count` permits in all, for a short time. */
  want(
    state: PermitHolderState,
    count: number,
    now: number,
  ): PermitHolderState {
    return {...state, wanted: count, wantedUntil: now + WANTED_MS};
  },

  /** Number of permits that may be used now. */
  usable({permits}: PermitHolderState, now: number): number {
    return permits.filter(until => until > now).length;
  },

  /** Uses a permit, the oldest first; counts the request if there is none. */
  take(state: PermitHolderState, now: number): PermitHolderState {
    const [first, ...others] = state.permits.filter(until => until > now);
    const expired = state.permits.length - (first ? 1 : 0) - others.length;
    const returned = state.returned + expired;
    const wanted = Math.max(0, state.wanted - 1);
    return first === undefined
      ? {...state, returned, permits: [], unpermitted: state.unpermitted + 1}
      : {...state, returned, permits: others, used: state.used + 1, wanted};
  },

  /** Takes back the use of a permit whose request was not sent. */
  giveBack(state: PermitHolderState): PermitHolderState {
    if (state.used === 0) return state;
    return {...state, used: state.used - 1, returned: state.returned + 1};
  },

  /** Records an answer of `issuer`; one of a former issuer is ignored. */
  receive(
    state: PermitHolderState,
    issuer: string,
    {count, othersWaiting, perSecond}: Grant,
    now: number,
  ): PermitHolderState {
    if (issuer !== state.issuer) return state;
    const until = now + PERMIT_TIMING.PERMIT_MS;
    const granted = Array.from({length: count}, () => until);
    return {
      ...state,
      heardAt: now,
      othersWaiting,
      perSecond,
      permits: [...state.permits, ...granted],
      reported: Math.max(0, state.reported - count),
    };
  },

  /** Returns the message that is due to the issuer, if any. */
  report(
    before: PermitHolderState,
    issuer: string,
    now: number,
  ): {readonly state: PermitHolderState; readonly report?: Report} {
    const unused = giveBackUnused(before, now);
    const state =
      unused.issuer === issuer ? unused : changeIssuer(unused, issuer, now);
    if (!state) return {state: unused};
    const {used, returned, unpermitted} = state;
    const waiting = waitingNow(state, now);
    const hasNews =
      waiting !== state.reported || used + returned + unpermitted > 0;
    const isDue = now - state.sentAt >= PERMIT_TIMING.RENEW_MS;
    if (!hasNews && !isDue) return {state};
    return {
      state: {
        ...state,
        sentAt: now,
        reported: waiting,
        used: 0,
        returned: 0,
        unpermitted: 0,
      },
      report: {waiting, used, returned, unpermitted},
    };
  },
};
