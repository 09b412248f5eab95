import * as HashMap from 'effect/HashMap';
import * as Option from 'effect/Option';
import {mapWith} from '../shared/map_with.js';
import {mapWithout} from '../shared/map_without.js';
import type {FleetLoadState} from './fleet_load_state.js';
import type {PriorityLevel} from './priority_level.js';
import type {PromptDemand} from './prompt_demand.js';
import {hasShortPrefill} from './has_short_prefill.js';
import {recentArrivals} from './recent_arrivals.js';
import type {ServerLoad} from './server_load.js';
import {summarizeServerLoad} from './summarize_server_load.js';
import {waitingOrder} from './waiting_order.js';
import type {WaitingPrompt} from './waiting_prompt.js';
import type {WorkChange} from './work_change.js';
import type {WorkItem} from './work_item.js';

/** Time in milliseconds after which work without an end is removed. */
const WORK_TTL_MS = 30_000;

type WorkById =
  FleetLoadState['byServer'] extends HashMap.HashMap<string, infer Value>
    ? Value
    : never;

function withServerWork(
  load: FleetLoadState,
  serverId: string,
  workById: WorkById,
): FleetLoadState['byServer'] {
  return workById.size === 0
    ? HashMap.remove(load.byServer, serverId)
    : HashMap.set(load.byServer, serverId, workById);
}

function workOf(load: FleetLoadState, serverId: string): WorkById | undefined {
  return Option.getOrUndefined(HashMap.get(load.byServer, serverId));
}

/** Finds the server of a running work item, and all work on that server. */
function locate(load: FleetLoadState, workId: string) {
  const serverId = Option.getOrUndefined(HashMap.get(load.serverOf, workId));
  const workById = serverId === undefined ? undefined : workOf(load, serverId);
  return serverId === undefined || !workById ? undefined : {serverId, workById};
}

function withArrival(
  recent: FleetLoadState['recent'],
  work: WorkItem,
  now: number,
): FleetLoadState['recent'] {
  if (!hasShortPrefill(work)) {
    return recentArrivals.recordLong(recent, work.prefillMs, now);
  }
  return work.decodes ? recentArrivals.recordShort(recent, now) : recent;
}

/** Tracks the work on all backend servers that gateways know of. */
export const fleetLoad = {
  empty(): FleetLoadState {
    return {
      byServer: HashMap.empty(),
      serverOf: HashMap.empty(),
      waiting: new Map(),
      passedOver: 0,
      recent: recentArrivals.empty(),
    };
  },

  /** Adds work that the gateway `owner` has sent to a server. */
  addWork(
    load: FleetLoadState,
    work: WorkItem,
    owner: string,
    now: number,
  ): FleetLoadState {
    const workById = workOf(load, work.serverId) ?? new Map();
    const tracked = {...work, owner, startedAt: now, prefilled: false};
    return {
      ...load,
      byServer: HashMap.set(
        load.byServer,
        work.serverId,
        mapWith(workById, work.workId, tracked),
      ),
      serverOf: HashMap.set(load.serverOf, work.workId, work.serverId),
      recent: withArrival(load.recent, work, now),
    };
  },

  /** Records that the prefill of a work item is finished. */
  markPrefilled(load: FleetLoadState, workId: string): FleetLoadState {
    const found = locate(load, workId);
    const work = found?.workById.get(workId);
    if (!found || !work) return load;
    const next = mapWith(found.workById, workId, {...work, prefilled: true});
    return {
      ...load,
      byServer: HashMap.set(load.byServer, found.serverId, next),
    };
  },

  /** Adds a queued prompt, or updates its owner, rank and level. */
  addWaiting(
    load: FleetLoadState,
    workId: string,
    waiting: Omit<WaitingPrompt, 'since'>,
    now: number,
  ): FleetLoadState {
    const known = load.waiting.get(workId);
    const since = known?.since ?? now;
    return {
      ...load,
      waiting: mapWith(load.waiting, workId, {...waiting, since}),
    };
  },

  /** Lowest rank of the other queued prompts; Infinity if there are none. */
  lowestRank(
    {waiting, passedOver}: FleetLoadState,
    excludedWorkId: string,
    priority?: PriorityLevel,
  ): number {
    return waitingOrder.lowestRank(
      waiting,
      passedOver,
      excludedWorkId,
      priority,
    );
  },

  /**
   * Removes a work item or a queued prompt. Unknown ids have no effect. The
   * duration of a stream counts if `now` is given: it then ended by itself.
   */
  endWork(load: FleetLoadState, workId: string, now?: number): FleetLoadState {
    const ended = load.waiting.get(workId);
    if (ended) {
      const waiting = mapWithout(load.waiting, workId);
      const count = load.passedOver;
      const passedOver = waitingOrder.countPassedOver(count, ended, waiting);
      return {...load, waiting, passedOver};
    }
    const found = locate(load, workId);
    if (!found) return load;
    const {serverId, workById} = found;
    const work = workById.get(workId);
    const isShortEnd =
      now !== undefined &&
      work?.decodes &&
      work.prefilled &&
      hasShortPrefill(work);
    return {
      ...load,
      recent: isShortEnd
        ? recentArrivals.recordShortEnd(load.recent, now - work.startedAt)
        : load.recent,
      byServer: withServerWork(load, serverId, mapWithout(workById, workId)),
      serverOf: HashMap.remove(load.serverOf, workId),
    };
  },

  /** Removes work and queued prompts that belong to `owner` or are too old. */
  removeStale(
    load: FleetLoadState,
    owner: string | undefined,
    now: number,
  ): FleetLoadState {
    const isStale = (workOwner: string, startedAt: number) =>
      workOwner === owner || now - startedAt > WORK_TTL_MS;
    const workIds = [...HashMap.values(load.byServer)]
      .flatMap(byId => [...byId.values()])
      .filter(work => isStale(work.owner, work.startedAt))
      .map(({workId}) => workId);
    const waitingIds = [...load.waiting]
      .filter(([, {owner: waitOwner, since}]) => isStale(waitOwner, since))
      .map(([workId]) => workId);
    return [...workIds, ...waitingIds].reduce(
      (rest, workId) => fleetLoad.endWork(rest, workId),
      load,
    );
  },

  /**
   * Changes that reproduce the running work and the queued prompts of the
   * gateway `owner`.
   */
  changesOfOwner(load: FleetLoadState, owner: string): readonly WorkChange[] {
    const waiting = [...load.waiting]
      .filter(([, prompt]) => prompt.owner === owner)
      .map(
        ([workId, {owner: _owner, since: _since, ...prompt}]): WorkChange => ({
          type: 'wait',
          workId,
          ...prompt,
        }),
      );
    const running = [...HashMap.values(load.byServer)]
      .flatMap(byId => [...byId.values()])
      .filter(work => work.owner === owner)
      .flatMap(({owner: _owner, startedAt: _startedAt, prefilled, ...work}) => {
        const start: WorkChange = {type: 'start', work};
        const prefill: WorkChange = {type: 'prefilled', workId: work.workId};
        return prefilled ? [start, prefill] : [start];
      });
    return [...running, ...waiting];
  },

  /** Demand of short and of long prompts on `servers` servers. */
  demand(
    {recent, waiting}: FleetLoadState,
    servers: number,
    now: number,
  ): PromptDemand {
    return {
      servers,
      shortPerSecond: recentArrivals.shortPerSecond(recent, now),
      shortStreams: recentArrivals.shortStreams(recent, now),
      longServers: recentArrivals.longServers(recent, now),
      waiting: waiting.size,
    };
  },

  /** Number of servers with running work. */
  busyServers(load: FleetLoadState): number {
    return HashMap.size(load.byServer);
  },

  /**
   * Summarizes the load of one server; idle for an unknown server. `passMs` is
   * the duration of a scheduling pass with decoding streams, in milliseconds.
   */
  serverLoad(
    load: FleetLoadState,
    serverId: string,
    now: number,
    passMs = 0,
  ): ServerLoad {
    return summarizeServerLoad(workOf(load, serverId), now, passMs);
  },
};
