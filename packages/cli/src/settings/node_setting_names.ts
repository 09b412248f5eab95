/** Settings of both entries and agents. */
export const NODE_SETTING_NAMES = [
  'id',
  'region',
  'zone',
  'platformUrl',
  'linkKey',
  'linkTlsKey',
  'linkTlsCert',
  'linkTlsCa',
  'logLevel',
  'traceExporter',
  'otlpUrl',
  'shutdownMs',
] as const;
