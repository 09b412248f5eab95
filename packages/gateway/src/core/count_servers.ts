import type {BackendServer, ServerHealth} from '@figfall/decisions';

interface FleetView {
  readonly servers: readonly BackendServer[];
  readonly health: ReadonlyMap<string, ServerHealth>;
  readonly evacuatedZones: ReadonlySet<string>;
}

interface ServerCounts {
  readonly ready: number;
  readonly draining: number;
  /** Ready servers in evacuated availability zones. */
  readonly zoneOut: number;
  /** Servers that are avoided after failures. */
  readonly avoided: number;
}

/** Counts backend servers by state; a server may be counted several times. */
export function countServers(
  {servers, health, evacuatedZones}: FleetView,
  now: number,
): ServerCounts {
  const ready = servers.filter(({state}) => state === 'ready');
  return {
    ready: ready.length,
    draining: servers.length - ready.length,
    zoneOut: ready.filter(({zone}) => evacuatedZones.has(zone)).length,
    avoided: servers.filter(({id}) => (health.get(id)?.avoidUntil ?? 0) > now)
      .length,
  };
}
