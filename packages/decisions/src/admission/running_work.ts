import * as HashMap from 'effect/HashMap';
import * as Option from 'effect/Option';
import type {FleetLoadState} from '../serving/fleet_load_state.js';

/** Reads single work items from the load of the fleet. */
export const runningWork = {
  /** Requests for which a server generates a response, or will. */
  onServer({byServer}: FleetLoadState, serverId: string) {
    const workById = Option.getOrUndefined(HashMap.get(byServer, serverId));
    return [...(workById?.values() ?? [])].filter(({decodes}) => decodes);
  },

  /** Work by its id, if it runs. */
  find({byServer, serverOf}: FleetLoadState, workId: string) {
    const serverId = Option.getOrUndefined(HashMap.get(serverOf, workId));
    if (serverId === undefined) return undefined;
    return Option.getOrUndefined(HashMap.get(byServer, serverId))?.get(workId);
  },
};
