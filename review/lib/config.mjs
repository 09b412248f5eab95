/** A configuration like those of the small deployments. */

export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

export const LIMITS = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 4194304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15000,
};

export const TENANTS = [{name: 'hule930', apiKeys: [KEY], priority: 1}];

export const STREAM_ROUTE = {
  name: 'r-summary',
  host: HOST,
  pathPrefix: '/summary/',
  kind: 'streaming',
  timeoutMs: 10000,
  targetLatencyMs: 300,
  priority: 1,
  service: 'pool',
  maxAttempts: 2,
  public: false,
  stickySessions: true,
  resumable: true,
  gapTargetMs: 250,
};

export const BOOKING_ROUTE = {
  name: 'r-booking',
  host: HOST,
  pathPrefix: '/booking/',
  kind: 'non_idempotent',
  timeoutMs: 4000,
  targetLatencyMs: 386,
  priority: 2,
  service: 'app',
  maxAttempts: 2,
  public: false,
  stickySessions: false,
};

export const READ_ROUTE = {
  name: 'r-status',
  host: HOST,
  pathPrefix: '/status/',
  kind: 'idempotent',
  timeoutMs: 4000,
  targetLatencyMs: 386,
  priority: 2,
  service: 'app',
  maxAttempts: 2,
  public: false,
  stickySessions: false,
};

export const POOL_SERVICE = {
  name: 'pool',
  healthCheckPath: '/health',
  maxConnections: 304,
  protocol: 'h1',
  tls: false,
  coldStartS: 3,
  coldPerS: 26,
  engine: {
    slots: 11,
    kvCacheTokens: 315000,
    kvTokenBytes: 163840,
    linkMbps: 400000,
    stride: 51,
    models: [{name: 'm'}],
    step_ms: 0.85,
    per_seq_ms: 0.006181818181818182,
    context_per_k: 0.00285,
    read_per_s: 177000,
    pairs_per_m: 0.184,
    chunk: 2048,
    report_lag_ms: 200,
    loadsPerS: 0,
    loads_at_once: 8,
    delays: [],
    usual: {prompt: 11094, answer: 1622},
    hopMs: 0.05,
  },
};

export const APP_SERVICE = {
  name: 'app',
  healthCheckPath: '/health',
  maxConnections: 110,
  protocol: 'h1',
  tls: false,
  coldStartS: 0,
  coldPerS: 0,
};

export const CONFIG = {
  version: 7,
  routes: [STREAM_ROUTE, BOOKING_ROUTE, READ_ROUTE],
  services: [POOL_SERVICE, APP_SERVICE],
  limits: LIMITS,
  tenants: TENANTS,
};
