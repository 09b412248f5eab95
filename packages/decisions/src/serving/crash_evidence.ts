import {mapWith} from '../shared/map_with.js';
import {withNewest} from '../shared/with_newest.js';
import {addCrashLoss} from './add_crash_loss.js';
import type {CrashEvidenceLimits} from './crash_evidence_limits.js';
import type {CrashEvidenceState} from './crash_evidence_state.js';
import type {CrashLoss} from './crash_loss.js';
import type {CrashSuspect} from './crash_suspect.js';
import {forgetUnlikelySuspects} from './forget_unlikely_suspects.js';
import {isSettled} from './is_settled.js';
import {isConclusiveTrial} from './is_conclusive_trial.js';
import {judgeCrashSuspects} from './judge_crash_suspects.js';
import {lastLossAt} from './last_loss_at.js';
import {standsOut} from './stands_out.js';
import {UNKNOWN_SUSPECT} from './unknown_suspect.js';

/** Trials after which the time between trials no longer doubles. */
const DOUBLED_TRIALS_MAX = 4;

/** Milliseconds after which a blocked key without any requests is forgotten. */
const BLOCKED_TTL_MS = 3_600_000;

/** Largest number of crashes kept; the oldest are dropped first. */
const CRASHES_MAX = 256;

/** Milliseconds for which a crash is kept. */
const CRASH_TTL_MS = 600_000;

/** Milliseconds from the last loss or trial of a blocked key to the next trial. */
function trialMs(
  {blockMs}: CrashEvidenceLimits,
  {trials}: CrashSuspect,
): number {
  return blockMs * 2 ** Math.min(trials, DOUBLED_TRIALS_MAX);
}

/** The same for a request that would clear a key whose guilt is in doubt. */
function earlyTrialMs(
  limits: CrashEvidenceLimits,
  suspect: CrashSuspect,
): number {
  const usualMs = trialMs(limits, suspect);
  return limits.doubtfulTrialsMs?.[suspect.trials] ?? usualMs;
}

/**
 * Keys of requests that may crash each server that runs them: a key is a whole
 * request, or a part of prompts. Such requests come at any gateway, and more than
 * once. Evidence is the loss of servers in series, at any time of an answer; only
 * a whole answer speaks for a key, as a server may crash after its first event.
 */
export const crashEvidence = {
  empty(limits: CrashEvidenceLimits): CrashEvidenceState {
    return {
      limits,
      suspects: new Map(),
      crashedAt: new Map(),
      lastLossAt: -Infinity,
      forgotten: 0,
    };
  },

  /** Records the loss of a server that ran a request with these keys. */
  recordLoss(
    state: CrashEvidenceState,
    loss: CrashLoss,
    now: number,
  ): CrashEvidenceState {
    const {crashId, keys} = loss;
    const crashedAt = state.crashedAt.has(crashId)
      ? state.crashedAt
      : withNewest(state.crashedAt, crashId, now, CRASHES_MAX);
    const suspects = new Map(state.suspects);
    /** Keys that were always lost together share one suspect. */
    const nextOf = new Map<CrashSuspect, CrashSuspect>();
    keys.forEach(key => {
      const known = suspects.get(key) ?? UNKNOWN_SUSPECT;
      const next = nextOf.get(known) ?? addCrashLoss(known, loss, now);
      nextOf.set(known, next);
      suspects.set(key, next);
    });
    return forgetUnlikelySuspects({
      ...state,
      crashedAt,
      suspects,
      lastLossAt: Math.max(state.lastLossAt, now),
    });
  },

  /** Clears keys, because a server has answered a request with them in full. */
  recordAnswer(
    state: CrashEvidenceState,
    keys: readonly string[],
  ): CrashEvidenceState {
    if (!keys.some(key => state.suspects.has(key))) return state;
    const suspects = new Map(state.suspects);
    keys.forEach(key => suspects.delete(key));
    return {...state, suspects};
  },

  /** Blocks the keys that are to blame by now. */
  judge: judgeCrashSuspects,

  /** True once a verdict stands until the evidence changes. */
  isSettled(state: CrashEvidenceState, now: number): boolean {
    return isSettled(state.lastLossAt, now);
  },

  /** True if a key will be blocked, unless other gateways lost more with it. */
  isAnyPending(
    state: CrashEvidenceState,
    keys: readonly string[],
    now: number,
  ): boolean {
    const suspects = new Set(
      keys.flatMap(key => state.suspects.get(key) ?? []),
    );
    return [...suspects].some(
      suspect =>
        !suspect.isBlocked &&
        !isSettled(lastLossAt(suspect), now) &&
        standsOut(state, suspect),
    );
  },

  isBlocked({suspects}: CrashEvidenceState, key: string): boolean {
    return suspects.get(key)?.isBlocked ?? false;
  },

  /**
   * Milliseconds for which a request with a key, among others, is refused; 0 if it
   * may run. A request whose answer would clear the key may be tried early.
   */
  refusedForMs(
    state: CrashEvidenceState,
    key: string,
    now: number,
    keys: readonly string[] = [],
  ): number {
    const suspect = state.suspects.get(key);
    if (!suspect?.isBlocked) return 0;
    const isEarly = isConclusiveTrial(state, key, keys);
    const waitMs = isEarly
      ? earlyTrialMs(state.limits, suspect)
      : trialMs(state.limits, suspect);
    return Math.max(0, suspect.updatedAt + waitMs - now);
  },

  /** Records that a request with a blocked key is sent, as its trial. */
  recordTrial(
    state: CrashEvidenceState,
    key: string,
    now: number,
  ): CrashEvidenceState {
    const suspect = state.suspects.get(key);
    if (!suspect?.isBlocked) return state;
    const trials = suspect.trials + 1;
    const tried = {...suspect, trials, updatedAt: now};
    return {...state, suspects: mapWith(state.suspects, key, tried)};
  },

  /** The keys that are blocked. */
  blocked({suspects}: CrashEvidenceState): readonly string[] {
    return [...suspects].flatMap(([key, {isBlocked}]) =>
      isBlocked ? [key] : [],
    );
  },

  /** Adds a key that another gateway has blocked, unless it is blocked here. */
  addBlocked(
    state: CrashEvidenceState,
    key: string,
    {trials, ageMs}: {readonly trials: number; readonly ageMs: number},
    now: number,
  ): CrashEvidenceState {
    const known = state.suspects.get(key) ?? UNKNOWN_SUSPECT;
    if (known.isBlocked) return state;
    const updatedAt = now - ageMs;
    const suspect = {...known, trials, updatedAt, isBlocked: true};
    const suspects = mapWith(state.suspects, key, suspect);
    return forgetUnlikelySuspects({...state, suspects});
  },

  /** Removes keys without a recent loss or trial, and old losses. */
  removeExpired(state: CrashEvidenceState, now: number): CrashEvidenceState {
    const {suspectTtlMs} = state.limits;
    const isCurrent = ({isBlocked, updatedAt}: CrashSuspect) =>
      now - updatedAt < (isBlocked ? BLOCKED_TTL_MS : suspectTtlMs);
    const suspects = [...state.suspects].filter(([, suspect]) =>
      isCurrent(suspect),
    );
    const crashedAt = [...state.crashedAt].filter(
      ([, at]) => now - at < CRASH_TTL_MS,
    );
    const isUnchanged =
      suspects.length === state.suspects.size &&
      crashedAt.length === state.crashedAt.size;
    if (isUnchanged) return state;
    return {
      ...state,
      suspects: new Map(suspects),
      crashedAt: new Map(crashedAt),
    };
  },
};
