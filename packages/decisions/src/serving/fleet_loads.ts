import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';
import type {FleetLoad} from './fleet_load.js';
import type {ServerLoad} from './server_load.js';
import type {WorkChange} from './work_change.js';
import type {WorkItem} from './work_item.js';

/** Milliseconds after which work that nobody ended is forgotten. */
const WORK_TTL_MS = 30_000;

/** Longest prefill in milliseconds of a short prompt. */
const QUICK_PREFILL_MS = 160;

/** Milliseconds beyond its prefill within which work is not late. */
const LATENESS_MS = 200;

/** Milliseconds over which recent sends are counted. */
const RECENT_MS = 1_000;

const IDLE: ServerLoad = {
  running: 0,
  prefilling: 0,
  decoding: 0,
  backlogMs: 0,
  knownBacklogMs: 0,
  usedKvCacheTokens: 0,
  streams: [],
  startedRecently: 0,
  shortPromptStreams: 0,
};

type Works = NonNullable<ReturnType<FleetLoad['byServer']['get']>>;

function withWorks(
  load: FleetLoad,
  serverId: string,
  works: Works,
): FleetLoad['byServer'] {
  return works.size === 0
    ? mapWithout(load.byServer, serverId)
    : mapWith(load.byServer, serverId, works);
}

/**
 * Prefill left on a server that prefills one prompt after another. A server
 * that is later than its work explains has work that no entry knows of, or is
 * in trouble; it is taken to need as long again.
 */
function backlogOf(works: Works, now: number) {
  const waiting = [...works.values()].filter(work => !work.prefilled);
  if (waiting.length === 0) return {backlogMs: 0, knownBacklogMs: 0};
  const totalMs = waiting.reduce((sum, work) => sum + work.prefillMs, 0);
  const since = Math.min(...waiting.map(work => work.startedAt));
  const lateMs = now - since - totalMs - LATENESS_MS;
  const knownBacklogMs = Math.max(0, totalMs - (now - since));
  return {backlogMs: Math.max(knownBacklogMs, lateMs), knownBacklogMs};
}

/** Work that entries know of, on all backend servers. */
export const fleetLoads = {
  empty(): FleetLoad {
    return {byServer: new Map(), serverOf: new Map(), waiting: new Map()};
  },

  /** Adds work that `owner`, an entry, has sent. */
  addWork(
    load: FleetLoad,
    work: WorkItem,
    owner: string,
    now: number,
  ): FleetLoad {
    const works = load.byServer.get(work.serverId) ?? new Map();
    const tracked = {...work, owner, startedAt: now, prefilled: false};
    return {
      ...load,
      byServer: mapWith(
        load.byServer,
        work.serverId,
        mapWith(works, work.workId, tracked),
      ),
      serverOf: mapWith(load.serverOf, work.workId, work.serverId),
    };
  },

  /** Notes that a prompt has been read; parts on other servers are over. */
  markPrefilled(load: FleetLoad, workId: string): FleetLoad {
    const serverId = load.serverOf.get(workId);
    const works = serverId && load.byServer.get(serverId);
    const work = works && works.get(workId);
    if (!serverId || !works || !work) return load;
    const next = mapWith(works, workId, {...work, prefilled: true});
    return {...load, byServer: mapWith(load.byServer, serverId, next)};
  },

  /** Notes that a prompt waits for servers. */
  addWaiting(
    load: FleetLoad,
    workId: string,
    waiting: {readonly owner: string; readonly rank: number},
    now: number,
  ): FleetLoad {
    const known = load.waiting.get(workId);
    const since = known?.since ?? now;
    return {
      ...load,
      waiting: mapWith(load.waiting, workId, {...waiting, since}),
    };
  },

  /** Lowest rank of the prompts that wait, but for one. */
  lowestRank(load: FleetLoad, exceptWorkId: string): number {
    return Math.min(
      ...[...load.waiting]
        .filter(([workId]) => workId !== exceptWorkId)
        .map(([, {rank}]) => rank),
    );
  },

  /** Ends work, or the wait of a prompt. */
  endWork(load: FleetLoad, workId: string): FleetLoad {
    if (load.waiting.has(workId)) {
      return {...load, waiting: mapWithout(load.waiting, workId)};
    }
    const serverId = load.serverOf.get(workId);
    const works = serverId && load.byServer.get(serverId);
    if (!serverId || !works) return load;
    return {
      ...load,
      byServer: withWorks(load, serverId, mapWithout(works, workId)),
      serverOf: mapWithout(load.serverOf, workId),
    };
  },

  /** Forgets the work of an entry that is gone, and work that is too old. */
  removeStale(
    load: FleetLoad,
    owner: string | undefined,
    now: number,
  ): FleetLoad {
    const isOver = (workOwner: string, at: number) =>
      workOwner === owner || now - at > WORK_TTL_MS;
    const works = [...load.byServer.values()]
      .flatMap(byId => [...byId.values()])
      .filter(work => isOver(work.owner, work.startedAt))
      .map(({workId}) => workId);
    const waits = [...load.waiting]
      .filter(([, {owner: waitOwner, since}]) => isOver(waitOwner, since))
      .map(([workId]) => workId);
    return [...works, ...waits].reduce(
      (rest, workId) => fleetLoads.endWork(rest, workId),
      load,
    );
  },

  /** Changes that lead to the work of one entry. */
  changesOfOwner(load: FleetLoad, owner: string): readonly WorkChange[] {
    return [...load.byServer.values()]
      .flatMap(works => [...works.values()])
      .filter(work => work.owner === owner)
      .flatMap(({owner: _owner, startedAt: _startedAt, prefilled, ...work}) => {
        const start: WorkChange = {type: 'start', work};
        const {workId} = work;
        return prefilled ? [start, {type: 'prefilled', workId}] : [start];
      });
  },

  /** Sums up what is known of one server. */
  serverLoad(load: FleetLoad, serverId: string, now: number): ServerLoad {
    const works = load.byServer.get(serverId);
    if (!works) return IDLE;
    const all = [...works.values()];
    const own = all.filter(work => work.decodes);
    const quick = own.filter(work => work.prefillMs <= QUICK_PREFILL_MS);
    const isRecent = (work: {readonly startedAt: number}) =>
      now - work.startedAt < RECENT_MS;
    const decoding = own.filter(work => work.prefilled);
    return {
      running: own.length,
      prefilling: all.filter(work => !work.prefilled).length,
      decoding: decoding.length,
      ...backlogOf(works, now),
      usedKvCacheTokens: all.reduce((sum, work) => sum + work.memoryTokens, 0),
      streams: own.map(({pauseMs, worth}) => ({pauseMs, worth})),
      startedRecently: all.filter(isRecent).length,
      shortPromptStreams: quick.length,
    };
  },
};
