import type {ServingConfig} from '@figfall/decisions';
import type {SimulatedEngine} from './simulated_engine.js';
import {SIMULATED_NAMES} from './simulated_names.js';
import type {SimulatedRequest} from './simulated_request.js';

/** Priority of a route whose kind declares none. */
const DEFAULT_PRIORITY = 5;

/** Configuration with a route for each kind of request in the load. */
export function buildSimulatedConfig(
  engine: SimulatedEngine,
  load: readonly SimulatedRequest[],
): ServingConfig {
  const kinds = new Map(load.map(request => [request.kind, request]));
  return {
    version: 1,
    routes: [...kinds.values()].map(
      ({kind, priority = DEFAULT_PRIORITY, ...cfg}) => ({
        name: kind,
        host: SIMULATED_NAMES.host,
        pathPrefix: `/${kind}/`,
        kind: 'streaming',
        resumable: true,
        trafficSplit: [{service: SIMULATED_NAMES.service, weight: 1}],
        maxAttempts: 2,
        timeoutMs: cfg.timeoutMs,
        latencyTargetMs: cfg.targetMs,
        pauseMs: cfg.pauseMs,
        priority,
        isPublic: true,
      }),
    ),
    services: new Map([
      [
        SIMULATED_NAMES.service,
        {name: SIMULATED_NAMES.service, coldRequestsPerSecond: 0, engine},
      ],
    ]),
    limits: {maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000},
  };
}
