import {serverNotices} from '@figfall/decisions';
import type {FleetView} from './fleet_view.js';

interface ServerCounts {
  readonly ready: number;
  readonly draining: number;
  /** Ready servers in evacuated availability zones. */
  readonly zoneOut: number;
  /** Servers that are avoided after failures. */
  readonly avoided: number;
  /** Servers that said that they are shutting down. */
  readonly leaving: number;
  /** Servers that asked for a pause. */
  readonly paused: number;
}

/** Counts backend servers by state; a server may be counted several times. */
export function countServers(
  {servers, health, notices, evacuatedZones}: FleetView,
  now: number,
): ServerCounts {
  const ready = servers.filter(({state}) => state === 'ready');
  return {
    ready: ready.length,
    draining: servers.length - ready.length,
    zoneOut: ready.filter(({zone}) => evacuatedZones.has(zone)).length,
    avoided: servers.filter(({id}) => (health.get(id)?.avoidUntil ?? 0) > now)
      .length,
    leaving: servers.filter(server => serverNotices.isLeaving(notices, server))
      .length,
    paused: servers.filter(
      ({id}) => serverNotices.pauseLeftMs(notices, id, now) > 0,
    ).length,
  };
}
