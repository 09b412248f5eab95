import {mapWith} from '../shared/map_with.js';
import type {WorkItem} from '../serving/work_item.js';

/** Milliseconds for which a start counts as use of its workspace. */
const RECENT_MS = 1_000;

/** Weight of the newest duration in the mean. */
const NEWEST_WEIGHT = 0.1;

/** Milliseconds below which a duration is that of a rejection. */
const RUN_MIN_MS = 15;

/**
 * Share of the mean below which a duration does not count: the server has
 * rejected the request rather than run it.
 */
const REJECTED_SHARE = 0.25;

interface Start {
  readonly serverId: string;
  readonly workspace: string;
  readonly at: number;
}

interface SlotHistoryState {
  /** Oldest first. */
  readonly starts: readonly Start[];
  /** Mean time in milliseconds for which a slot was taken, by server. */
  readonly meanMs: ReadonlyMap<string, number>;
  /** Requests that are not known here at servers that were full, by server. */
  readonly unknownWork: ReadonlyMap<string, UnknownWork>;
}

interface UnknownWork {
  readonly count: number;
  /** Time of the server's rejection in milliseconds. */
  readonly at: number;
}

/** Recent use of the slots of backend servers, by the work of all gateways. */
export const slotHistory = {
  empty(): SlotHistoryState {
    return {starts: [], meanMs: new Map(), unknownWork: new Map()};
  },

  recordStart(
    state: SlotHistoryState,
    {serverId, workspace = ''}: WorkItem,
    now: number,
  ): SlotHistoryState {
    const kept = state.starts.findIndex(({at}) => now - at < RECENT_MS);
    const recent = kept < 0 ? [] : state.starts.slice(kept);
    return {...state, starts: [...recent, {serverId, workspace, at: now}]};
  },

  /** Records for how long a request took a slot. */
  recordEnd(
    state: SlotHistoryState,
    serverId: string,
    ms: number,
  ): SlotHistoryState {
    const mean = state.meanMs.get(serverId) ?? ms;
    const shortestMs = Math.max(RUN_MIN_MS, mean * REJECTED_SHARE);
    if (ms < shortestMs) return state;
    const next = mean + (ms - mean) * NEWEST_WEIGHT;
    return {...state, meanMs: mapWith(state.meanMs, serverId, next)};
  },

  /** Records that a server rejects requests beyond `capacity`. */
  recordFull(
    state: SlotHistoryState,
    serverId: string,
    {capacity, running}: {readonly capacity: number; readonly running: number},
    now: number,
  ): SlotHistoryState {
    const work = {count: Math.max(0, capacity - running), at: now};
    return {
      ...state,
      unknownWork: mapWith(state.unknownWork, serverId, work),
    };
  },

  /**
   * Milliseconds until each request ends that a server must have beside those
   * known here. They are expected to end evenly over the mean duration.
   */
  unknownEndsMs(
    {unknownWork}: SlotHistoryState,
    serverId: string,
    meanMs: number,
    now: number,
  ): readonly number[] {
    const {count, at} = unknownWork.get(serverId) ?? {count: 0, at: 0};
    return Array.from(
      {length: count},
      (_, i) => at + ((i + 1) / count) * meanMs - now,
    ).filter(ms => ms > 0);
  },

  /** Mean over the servers that have ended requests; undefined if none has. */
  meanMs(
    state: SlotHistoryState,
    serverIds: readonly string[],
  ): number | undefined {
    const means = serverIds.flatMap(id => state.meanMs.get(id) ?? []);
    if (means.length === 0) return undefined;
    return means.reduce((sum, ms) => sum + ms, 0) / means.length;
  },

  /** Recent starts at some servers, by workspace. */
  startsByWorkspace(
    {starts}: SlotHistoryState,
    serverIds: ReadonlySet<string>,
    now: number,
  ): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    starts
      .filter(
        ({at, serverId}) => now - at < RECENT_MS && serverIds.has(serverId),
      )
      .forEach(({workspace}) =>
        counts.set(workspace, (counts.get(workspace) ?? 0) + 1),
      );
    return counts;
  },

  /** Forgets servers that are not listed. */
  retain(
    state: SlotHistoryState,
    listed: ReadonlyMap<string, unknown>,
  ): SlotHistoryState {
    const isListed = ([id]: readonly [string, unknown]) => listed.has(id);
    return {
      ...state,
      meanMs: new Map([...state.meanMs].filter(isListed)),
      unknownWork: new Map([...state.unknownWork].filter(isListed)),
    };
  },
};
