/** Host of all routes. */
export const HOST = 'ficu95.example';

const ROUTE = {host: HOST, maxAttempts: 2};

/** Routes as on the sheet of the Lindenau deployment. */
const ROUTES = [
  {
    ...ROUTE,
    name: 'shift-summary',
    pathPrefix: '/summary/',
    kind: 'streaming',
    resumable: true,
    service: 'figfall-pool',
    stickySessions: true,
    timeoutMs: 10_000,
    targetLatencyMs: 300,
    gapTargetMs: 250,
    priority: 1,
  },
  {
    ...ROUTE,
    name: 'dosing-booking',
    pathPrefix: '/booking/',
    kind: 'non_idempotent',
    service: 'einspeise-app',
    timeoutMs: 4_000,
    targetLatencyMs: 300,
    priority: 2,
  },
  {
    ...ROUTE,
    name: 'status-read',
    pathPrefix: '/status/',
    kind: 'idempotent',
    service: 'einspeise-app',
    timeoutMs: 4_000,
    targetLatencyMs: 300,
    priority: 2,
  },
];

const ENGINE = {
  slots: 11,
  kvCacheTokens: 315_000,
  step_ms: 0.85,
  per_seq_ms: 0.02,
  read_per_s: 177_000,
  pairs_per_m: 0.01,
  stride: 10,
};

/** A configuration as the operator writes it. */
export function buildConfig({version, keys}) {
  return {
    version,
    routes: ROUTES,
    services: [
      {name: 'figfall-pool', coldPerS: 0, engine: ENGINE},
      {name: 'einspeise-app', coldPerS: 0},
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 10_000,
    },
    tenants: Object.entries(keys).map(([name, apiKeys]) => ({name, apiKeys})),
  };
}

/** An entry of service discovery as a replica writes it. */
export function buildEntry({service, address, slots, state = 'ready'}) {
  return {
    service,
    address,
    zone: 'nord',
    version: '1',
    slots,
    state,
    coldRemainingMs: 0,
    sequence: 1,
    born: 1_700_000_000_000,
  };
}
