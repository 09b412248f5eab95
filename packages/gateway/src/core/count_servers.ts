import type {BackendServer, ServerHealth} from '@figfall/decisions';

interface Known {
  readonly servers: readonly BackendServer[];
  readonly health: ReadonlyMap<string, ServerHealth>;
  readonly zonesOut: ReadonlySet<string>;
}

interface ServerCounts {
  readonly ready: number;
  readonly draining: number;
  /** Ready servers in availability zones that are out. */
  readonly zoneOut: number;
  /** Servers that are left out after failures. */
  readonly avoided: number;
}

/** Counts backend servers by what keeps requests from them. */
export function countServers(
  {servers, health, zonesOut}: Known,
  now: number,
): ServerCounts {
  const ready = servers.filter(({state}) => state === 'ready');
  return {
    ready: ready.length,
    draining: servers.length - ready.length,
    zoneOut: ready.filter(({zone}) => zonesOut.has(zone)).length,
    avoided: servers.filter(({id}) => (health.get(id)?.avoidUntil ?? 0) > now)
      .length,
  };
}
