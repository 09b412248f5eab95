import type {ServingConfig} from '@figfall/decisions';

const SERVICE = 'plain';

/** Milliseconds that callers wait. */
const TIMEOUT_MS = 4_000;

const ROUTE = {
  host: 'limited',
  resumable: false,
  trafficSplit: [{service: SERVICE, weight: 1}],
  maxAttempts: 2,
  timeoutMs: TIMEOUT_MS,
  latencyTargetMs: 400,
  pauseMs: 250,
  priority: 5,
  isPublic: false,
};

const WORKSPACES = ['lindenau', 'werk', 'sued'];

/** Two routes and three workspaces before one plain service. */
export const LIMITED_CONFIG: ServingConfig = {
  version: 1,
  routes: [
    {...ROUTE, name: 'read', pathPrefix: '/read/', kind: 'idempotent'},
    {...ROUTE, name: 'book', pathPrefix: '/book/', kind: 'non-idempotent'},
  ],
  services: new Map([[SERVICE, {name: SERVICE, coldRequestsPerSecond: 0}]]),
  workspaceByKey: new Map(WORKSPACES.map(name => [name, name])),
  limits: {maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000},
};
