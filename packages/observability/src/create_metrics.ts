import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds of the latency histogram's buckets. */
const LATENCY_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.39, 0.75, 1.5, 3, 6, 15, 60, 300,
];

/** Creates the metrics of one node in a new registry. */
export function createMetrics(nodeId: string, role: 'entry' | 'agent') {
  const registry = new Registry();
  registry.setDefaultLabels({node: nodeId, role});
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'figfall_requests_total',
      help: 'Finished requests, by answer: complete or an error kind.',
      labelNames: ['answer'],
      registers,
    }),
    refusals: new Counter({
      name: 'figfall_refusals_total',
      help: 'Calls refused before execution, by error kind.',
      labelNames: ['kind'],
      registers,
    }),
    retries: new Counter({
      name: 'figfall_retries_total',
      help: 'Attempts after the first attempt of a request.',
      registers,
    }),
    firstTokenSeconds: new Histogram({
      name: 'figfall_first_token_seconds',
      help: 'Time from a request to its first token.',
      labelNames: ['length'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    running: new Gauge({
      name: 'figfall_running_calls',
      help: 'Calls in execution.',
      registers,
    }),
    queued: new Gauge({
      name: 'figfall_queued_calls',
      help: 'Calls that wait in the queue.',
      registers,
    }),
    links: new Gauge({
      name: 'figfall_links',
      help: 'Connected links.',
      registers,
    }),
    configRevision: new Gauge({
      name: 'figfall_config_revision',
      help: 'Highest configuration version in force.',
      registers,
    }),
    agentConfigRevision: new Gauge({
      name: 'figfall_agent_config_revision',
      help: 'Configuration version that a linked agent has in force.',
      labelNames: ['agent'],
      registers,
    }),
    linkBytes: new Gauge({
      name: 'figfall_link_bytes',
      help: 'Bytes sent and received on the connected links.',
      labelNames: ['direction'],
      registers,
    }),
    platformCalls: new Counter({
      name: 'figfall_platform_calls_total',
      help: 'Calls to the platform, by method and result.',
      labelNames: ['method', 'result'],
      registers,
    }),
  };
}
