import type {ServingRoute} from './serving_route.js';
import type {ServingService} from './serving_service.js';

/** The configuration that an entry serves by. */
export interface ServingConfig {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly services: ReadonlyMap<string, ServingService>;
  /** Workspace of each key; undefined where callers need none. */
  readonly workspaceByKey?: ReadonlyMap<string, string>;
  readonly limits: {
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
  };
}
