import type {BackendServer} from './backend_server.js';
import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import type {FleetLoadState} from './fleet_load_state.js';
import {fleetLoad} from './fleet_load.js';
import {passiveHealth} from './passive_health.js';
import {serverNotices} from './server_notices.js';
import type {ServerHealth} from './server_health.js';
import type {ServingService} from './serving_service.js';

/** Share of a cold server's declared request rate that is used. */
const COLD_RATE_SHARE = 0.8;

interface FleetView {
  readonly servers: readonly BackendServer[];
  readonly load: FleetLoadState;
  readonly health: ReadonlyMap<string, ServerHealth>;
  /** Availability zones from which operators have withdrawn traffic. */
  readonly evacuatedZones: ReadonlySet<string>;
  /** Servers that leave or pause; these are left out without exception. */
  readonly notices: ReturnType<typeof serverNotices.empty>;
  /** The request rate of a server, and what this gateway may send of it. */
  readonly rateLimitOf: (serverId: string) => Candidate['rateLimit'];
  /** Factor on the durations that a server declares. @default 1 */
  readonly paceOf?: (serverId: string) => number;
}

function isWithinColdRate(
  candidate: Candidate,
  service: ServingService,
): boolean {
  if (!candidate.isCold || service.coldRequestsPerSecond === 0) return true;
  return (
    candidate.load.startedRecently + 1 <=
    service.coldRequestsPerSecond * COLD_RATE_SHARE
  );
}

/**
 * Lists the backend servers that a request may be sent to now, without those
 * whose ids are in `exclude`; a server with a request rate needs a permit, too. Servers that are being avoided are returned only
 * if there are no others.
 */
export function eligibleServers(
  fleet: FleetView,
  service: ServingService,
  exclude: readonly string[],
  now: number,
): readonly Candidate[] {
  const {engine} = service;
  const passMs = engine ? engineTime.passMs(engine, 1) : 0;
  const candidates = fleet.servers
    .filter(({service: name}) => name === service.name)
    .filter(({state}) => state === 'ready')
    .filter(({zone}) => !fleet.evacuatedZones.has(zone))
    .filter(({id}) => !exclude.includes(id))
    .filter(server => serverNotices.isOpen(fleet.notices, server, now))
    .map(server => ({
      server,
      load: fleetLoad.serverLoad(fleet.load, server.id, now, passMs),
      failureRate: passiveHealth.failureRate(fleet.health.get(server.id), now),
      pace: fleet.paceOf?.(server.id),
      isCold: server.coldUntil > now,
      rateLimit: fleet.rateLimitOf(server.id),
    }))
    .filter(candidate => isWithinColdRate(candidate, service));
  const reachable = candidates.filter(
    ({server}) => (fleet.health.get(server.id)?.avoidUntil ?? 0) <= now,
  );
  return reachable.length > 0 ? reachable : candidates;
}
