/** The operator's configuration, with the routes of a small deployment. */
const COMMON = {host: 'ficu95.example', priority: 1, public: false};

export const SERVICES = {model: 'huvo11a', app: 'wuno96b'};

export function config({version = 7, app = {}, stream = {}} = {}) {
  return {
    version,
    routes: [
      {
        ...COMMON,
        name: 'r-stream',
        pathPrefix: '/lohu930/',
        kind: 'streaming',
        timeoutMs: 10_000,
        targetLatencyMs: 300,
        service: SERVICES.model,
        maxAttempts: 2,
        stickySessions: true,
        resumable: true,
        gapTargetMs: 250,
        ...stream,
      },
      {
        ...COMMON,
        name: 'r-book',
        pathPrefix: '/puxa403/',
        kind: 'non_idempotent',
        timeoutMs: 4_000,
        targetLatencyMs: 386,
        service: SERVICES.app,
        maxAttempts: 2,
        ...app,
      },
      {
        ...COMMON,
        name: 'r-read',
        pathPrefix: '/cufi504/',
        kind: 'idempotent',
        timeoutMs: 4_000,
        targetLatencyMs: 386,
        service: SERVICES.app,
        maxAttempts: 2,
        ...app,
      },
    ],
    services: [
      {
        name: SERVICES.model,
        healthCheckPath: '/health',
        maxConnections: 304,
        coldStartS: 3,
        coldPerS: 26,
        engine: {
          slots: 11,
          kvCacheTokens: 315_000,
          stride: 51,
          step_ms: 0.85,
          per_seq_ms: 0.0062,
          read_per_s: 177_000,
          pairs_per_m: 0.184,
          chunk: 2_048,
          delays: [],
        },
      },
      {
        name: SERVICES.app,
        healthCheckPath: '/health',
        maxConnections: 110,
        coldStartS: 0,
        coldPerS: 0,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'hule930', apiKeys: ['key-a'], priority: 1}],
  };
}
