import {PARSERS} from './parsers.js';
import type {Setting} from './setting.js';

const PORT_PARSER = PARSERS.integer(0, 65_535);

/** Infers the type of a setting's value from its parser. */
function setting<Value>(options: Setting<Value>): Setting<Value> {
  return options;
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
    help: 'secret key that all nodes share; preferably set in the environment',
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
    help: 'lowest level of written log lines: debug, info, warn, error or silent',
    defaultText: 'info',
    parse: PARSERS.oneOf('debug', 'info', 'warn', 'error', 'silent'),
  }),
  traceExporter: setting({
    flag: 'trace-exporter',
    env: 'FIGFALL_TRACE_EXPORTER',
    help: 'exporter of trace spans: none, console or otlp',
    defaultText: 'none',
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
    help: 'milliseconds in which running requests may finish after SIGTERM',
    defaultText: '600000',
    parse: PARSERS.integer(0, 3_600_000),
  }),
  httpHost: setting({
    flag: 'http-host',
    env: 'FIGFALL_HTTP_HOST',
    help: 'IP address of the HTTP server for callers',
    defaultText: '127.0.0.1',
    parse: PARSERS.address,
  }),
  httpPort: setting({
    flag: 'http-port',
    env: 'FIGFALL_HTTP_PORT',
    help: 'port of the HTTP server for callers; 0 chooses a free one',
    defaultText: '8080',
    parse: PORT_PARSER,
  }),
  routingPolicy: setting({
    flag: 'routing-policy',
    env: 'FIGFALL_ROUTING_POLICY',
    help: 'routing policy: figfall, or a baseline: random, round-robin, least-outstanding',
    defaultText: 'figfall',
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
    help: 'links to agents for each model and service',
    defaultText: '16',
    parse: PARSERS.integer(1, 1_000),
  }),
  linkHost: setting({
    flag: 'link-host',
    env: 'FIGFALL_LINK_HOST',
    help: 'IP address on which the agent accepts links',
    defaultText: '127.0.0.1',
    parse: PARSERS.address,
  }),
  linkPort: setting({
    flag: 'link-port',
    env: 'FIGFALL_LINK_PORT',
    help: 'port on which the agent accepts links; 0 chooses a free one',
    defaultText: '7100',
    parse: PORT_PARSER,
  }),
  metricsPort: setting({
    flag: 'metrics-port',
    env: 'FIGFALL_METRICS_PORT',
    help: 'port of /healthz, /readyz and /metrics; 0 chooses a free one',
    defaultText: '7101',
    parse: PORT_PARSER,
  }),
  backendServer: setting({
    flag: 'backend-server',
    env: 'FIGFALL_BACKEND_SERVER',
    help: 'name of the backend server that the agent serves',
    parse: PARSERS.name,
  }),
  backendUrl: setting({
    flag: 'backend-url',
    env: 'FIGFALL_BACKEND_URL',
    help: 'base URL of the backend server that the agent serves',
    parse: PARSERS.url,
  }),
  ledgerWritesPerSecond: setting({
    flag: 'ledger-writes-per-second',
    env: 'FIGFALL_LEDGER_WRITES_PER_SECOND',
    help: 'maximum of ledger writes per second, for this agent',
    defaultText: '100',
    parse: PARSERS.integer(1, 1_000),
  }),
  keyRetentionMs: setting({
    flag: 'key-retention-ms',
    env: 'FIGFALL_KEY_RETENTION_MS',
    help: 'milliseconds for which idempotency keys are kept',
    defaultText: '86400000',
    parse: PARSERS.integer(60_000, 31_536_000_000),
  }),
  weightStoreLoads: setting({
    flag: 'weight-store-loads',
    env: 'FIGFALL_WEIGHT_STORE_LOADS',
    help: 'maximum of concurrent weight store loads, of all agents together',
    defaultText: '4',
    parse: PARSERS.integer(1, 1_000),
  }),
} as const;
