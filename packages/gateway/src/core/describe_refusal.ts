import {createFailure, serverNotices} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {countServers} from './count_servers.js';
import type {FleetView} from './fleet_view.js';

/**
 * Explains why no backend server of a service takes a request. If servers only
 * asked for a pause, the caller may return when the first pause is over.
 */
export function describeRefusal(
  view: FleetView,
  service: string,
  now: number,
): Failure {
  const servers = view.servers.filter(({service: name}) => name === service);
  const counts = countServers({...view, servers}, now);
  const pausesMs = servers
    .filter(server => !serverNotices.isLeaving(view.notices, server))
    .map(({id}) => serverNotices.pauseLeftMs(view.notices, id, now))
    .filter(pauseMs => pauseMs > 0);
  const message = `No backend server of service ${service} can take the request now. Listed: ${servers.length}, ready: ${counts.ready}, in evacuated zones: ${counts.zoneOut}, avoided: ${counts.avoided}, leaving: ${counts.leaving}, paused: ${counts.paused}.`;
  return createFailure(
    'no-backend-server',
    message,
    pausesMs.length > 0 ? {retryAfterMs: Math.min(...pausesMs)} : {},
  );
}
