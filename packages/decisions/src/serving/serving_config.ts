import type {ServingRoute} from './serving_route.js';
import type {ServingService} from './serving_service.js';

/** Configuration of a gateway: routes, services, API keys and limits. */
export interface ServingConfig {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  /** Services by name. */
  readonly services: ReadonlyMap<string, ServingService>;
  /** Workspace of each API key; undefined if callers need none. */
  readonly workspaceByKey?: ReadonlyMap<string, string>;
  /** Priorities of the workspaces that have one of their own. */
  readonly priorityByWorkspace?: ReadonlyMap<string, number>;
  readonly limits: {
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
  };
}
