import {mapWith} from '../shared/map_with.js';
import type {ServerProcess} from './server_process.js';

/** Time in milliseconds for which a server is remembered as leaving. */
const LEAVING_TTL_MS = 600_000;

/** Longest pause in milliseconds that a server may ask for. */
const PAUSE_MAX_MS = 60_000;

interface Leaving {
  /** Start of the process that leaves; a later process under the id stays. */
  readonly processStartedAt?: number;
  /** Monotonic time in milliseconds. */
  readonly learnedAt: number;
}

/** What backend servers have said of themselves in their responses. */
interface ServerNotices {
  /** Servers that are shutting down, by id. */
  readonly leaving: ReadonlyMap<string, Leaving>;
  /**
   * Monotonic time in milliseconds until which a server wants no requests from
   * this gateway, by id.
   */
  readonly pausedUntil: ReadonlyMap<string, number>;
}

/**
 * Keeps track of servers that leave or ask for a pause. It outlives service
 * discovery, which may lag, be away, or list a server as ready again.
 */
export const serverNotices = {
  empty(): ServerNotices {
    return {leaving: new Map(), pausedUntil: new Map()};
  },

  /** Records that a server's process leaves; nothing takes that back. */
  recordLeaving(
    notices: ServerNotices,
    {id, processStartedAt}: ServerProcess,
    now: number,
  ): ServerNotices {
    const entry = {processStartedAt, learnedAt: now};
    return {...notices, leaving: mapWith(notices.leaving, id, entry)};
  },

  /** Records that a server wants no requests for `pauseMs` milliseconds. */
  recordPause(
    notices: ServerNotices,
    serverId: string,
    pauseMs: number,
    now: number,
  ): ServerNotices {
    const until = now + Math.min(pauseMs, PAUSE_MAX_MS);
    const known = notices.pausedUntil.get(serverId) ?? 0;
    if (until <= Math.max(known, now)) return notices;
    const pausedUntil = mapWith(notices.pausedUntil, serverId, until);
    return {...notices, pausedUntil};
  },

  isLeaving(
    {leaving}: ServerNotices,
    {id, processStartedAt}: ServerProcess,
  ): boolean {
    const known = leaving.get(id);
    return known !== undefined && known.processStartedAt === processStartedAt;
  },

  /** Milliseconds until a server takes requests from this gateway; 0 for now. */
  pauseLeftMs(
    {pausedUntil}: ServerNotices,
    serverId: string,
    now: number,
  ): number {
    return Math.max(0, (pausedUntil.get(serverId) ?? 0) - now);
  },

  /** True if a server takes new requests from this gateway. */
  isOpen(notices: ServerNotices, server: ServerProcess, now: number): boolean {
    return (
      !serverNotices.isLeaving(notices, server) &&
      serverNotices.pauseLeftMs(notices, server.id, now) === 0
    );
  },

  /** All servers known to leave, to tell a newly linked gateway. */
  leavingServers({leaving}: ServerNotices): readonly ServerProcess[] {
    return [...leaving].map(([id, {processStartedAt}]) => ({
      id,
      processStartedAt,
    }));
  },

  /** Removes pauses that are over and servers that left long ago. */
  removeExpired(notices: ServerNotices, now: number): ServerNotices {
    const leaving = [...notices.leaving].filter(
      ([, {learnedAt}]) => now - learnedAt < LEAVING_TTL_MS,
    );
    const pausedUntil = [...notices.pausedUntil].filter(
      ([, until]) => until > now,
    );
    return {leaving: new Map(leaving), pausedUntil: new Map(pausedUntil)};
  },
};
