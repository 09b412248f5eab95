import type {Setting} from './setting.js';
import {PARSERS} from './parsers.js';

const PORT = PARSERS.integer(0, 65_535);

function setting<Value>(value: Setting<Value>): Setting<Value> {
  return value;
}

/** All settings of all commands. */
export const SETTINGS = {
  id: setting({
    flag: 'id',
    env: 'FIGFALL_ID',
    help: 'name of this node, unique in the deployment',
    parse: PARSERS.name,
  }),
  region: setting({
    flag: 'region',
    env: 'FIGFALL_REGION',
    help: 'region of this node',
    parse: PARSERS.name,
  }),
  zone: setting({
    flag: 'zone',
    env: 'FIGFALL_ZONE',
    help: 'availability zone of this node',
    parse: PARSERS.name,
  }),
  platformUrl: setting({
    flag: 'platform-url',
    env: 'FIGFALL_PLATFORM_URL',
    help: 'base URL of the platform',
    parse: PARSERS.url,
  }),
  linkKey: setting({
    flag: 'link-key',
    env: 'FIGFALL_LINK_KEY',
    help: 'key that all nodes share; best set in the environment',
    parse: PARSERS.secret,
  }),
  linkTlsKey: setting({
    flag: 'link-tls-key',
    env: 'FIGFALL_LINK_TLS_KEY',
    help: 'private key for links over TLS, as PEM or @FILE',
    optional: true,
    parse: PARSERS.pem,
  }),
  linkTlsCert: setting({
    flag: 'link-tls-cert',
    env: 'FIGFALL_LINK_TLS_CERT',
    help: 'certificate for links over TLS, as PEM or @FILE',
    optional: true,
    parse: PARSERS.pem,
  }),
  linkTlsCa: setting({
    flag: 'link-tls-ca',
    env: 'FIGFALL_LINK_TLS_CA',
    help: 'certificate authority for links over TLS, as PEM or @FILE',
    optional: true,
    parse: PARSERS.pem,
  }),
  logLevel: setting({
    flag: 'log-level',
    env: 'FIGFALL_LOG_LEVEL',
    help: 'least level of log lines: debug, info, warn, error or silent',
    fallback: 'info',
    parse: PARSERS.oneOf('debug', 'info', 'warn', 'error', 'silent'),
  }),
  traceExporter: setting({
    flag: 'trace-exporter',
    env: 'FIGFALL_TRACE_EXPORTER',
    help: 'where spans go: none, console or otlp',
    fallback: 'none',
    parse: PARSERS.oneOf('none', 'console', 'otlp'),
  }),
  otlpUrl: setting({
    flag: 'otlp-url',
    env: 'FIGFALL_OTLP_URL',
    help: 'URL of the OTLP/HTTP collector, for trace exporter otlp',
    optional: true,
    parse: PARSERS.otlpUrl,
  }),
  shutdownMs: setting({
    flag: 'shutdown-ms',
    env: 'FIGFALL_SHUTDOWN_MS',
    help: 'milliseconds for which running work may finish after SIGTERM',
    fallback: '600000',
    parse: PARSERS.integer(0, 3_600_000),
  }),
  httpHost: setting({
    flag: 'http-host',
    env: 'FIGFALL_HTTP_HOST',
    help: 'IP address on which callers are served',
    fallback: '127.0.0.1',
    parse: PARSERS.address,
  }),
  httpPort: setting({
    flag: 'http-port',
    env: 'FIGFALL_HTTP_PORT',
    help: 'port on which callers are served; 0 chooses one',
    fallback: '8080',
    parse: PORT,
  }),
  routingPolicy: setting({
    flag: 'routing-policy',
    env: 'FIGFALL_ROUTING_POLICY',
    help: 'figfall, or a baseline: random, round-robin, least-outstanding',
    fallback: 'figfall',
    parse: PARSERS.oneOf(
      'figfall',
      'random',
      'round-robin',
      'least-outstanding',
    ),
  }),
  linksPerTarget: setting({
    flag: 'links-per-target',
    env: 'FIGFALL_LINKS_PER_TARGET',
    help: 'links kept for each model and service',
    fallback: '16',
    parse: PARSERS.integer(1, 1_000),
  }),
  linkHost: setting({
    flag: 'link-host',
    env: 'FIGFALL_LINK_HOST',
    help: 'IP address on which entries link to the agent',
    fallback: '127.0.0.1',
    parse: PARSERS.address,
  }),
  linkPort: setting({
    flag: 'link-port',
    env: 'FIGFALL_LINK_PORT',
    help: 'port on which entries link to the agent; 0 chooses one',
    fallback: '7100',
    parse: PORT,
  }),
  metricsPort: setting({
    flag: 'metrics-port',
    env: 'FIGFALL_METRICS_PORT',
    help: 'port of /healthz, /readyz and /metrics; 0 chooses one',
    fallback: '7101',
    parse: PORT,
  }),
  backendServer: setting({
    flag: 'backend-server',
    env: 'FIGFALL_BACKEND_SERVER',
    help: 'name of the backend server beside the agent',
    parse: PARSERS.name,
  }),
  backendUrl: setting({
    flag: 'backend-url',
    env: 'FIGFALL_BACKEND_URL',
    help: 'base URL of the backend server beside the agent',
    parse: PARSERS.url,
  }),
  ledgerWritesPerSecond: setting({
    flag: 'ledger-writes-per-second',
    env: 'FIGFALL_LEDGER_WRITES_PER_SECOND',
    help: 'writes of the claim ledger a second, for this agent',
    fallback: '100',
    parse: PARSERS.integer(1, 1_000),
  }),
  keyRetentionMs: setting({
    flag: 'key-retention-ms',
    env: 'FIGFALL_KEY_RETENTION_MS',
    help: 'milliseconds for which idempotency keys are remembered',
    fallback: '86400000',
    parse: PARSERS.integer(60_000, 31_536_000_000),
  }),
  weightStoreLoads: setting({
    flag: 'weight-store-loads',
    env: 'FIGFALL_WEIGHT_STORE_LOADS',
    help: 'loads that the weight store bears at once, from all agents',
    fallback: '4',
    parse: PARSERS.integer(1, 1_000),
  }),
} as const;
