import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds of the latency histograms' buckets, in seconds. */
const SECONDS_BUCKETS = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 3, 4, 6, 10, 15];

/** Upper bounds of the buckets for delays of the event loop, in seconds. */
const DELAY_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2];

/** Creates the metrics of one gateway, labelled with its node id. */
export function createGatewayMetrics(nodeId: string) {
  const registry = new Registry();
  registry.setDefaultLabels({node: nodeId});
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'figfall_requests_total',
      help: 'Requests ended, by route and result.',
      labelNames: ['route', 'result'],
      registers,
    }),
    callerConnections: new Counter({
      name: 'figfall_caller_connections_total',
      help: 'Connections of callers that were accepted.',
      registers,
    }),
    callersLeft: new Counter({
      name: 'figfall_callers_left_total',
      help: 'Requests whose callers left, by what they were doing: their body was arriving (reading), the close had come as they were to be started (starting), they waited or ran (started).',
      labelNames: ['phase'],
      registers,
    }),
    zoneRequests: new Counter({
      name: 'figfall_zone_requests_total',
      help: 'Attempts sent to the own availability zone or to another one.',
      labelNames: ['zone'],
      registers,
    }),
    retries: new Counter({
      name: 'figfall_retries_total',
      help: 'Attempts after the first, by decision of the retry budget.',
      labelNames: ['result'],
      registers,
    }),
    cutStreams: new Counter({
      name: 'figfall_cut_streams_total',
      help: 'Streams that were cut after their first event, by route and reason.',
      labelNames: ['route', 'result'],
      registers,
    }),
    tickDelaySeconds: new Histogram({
      name: 'figfall_tick_delay_seconds',
      help: 'Time by which the check of deadlines and silent attempts was late.',
      buckets: DELAY_BUCKETS,
      registers,
    }),
    requestSeconds: new Histogram({
      name: 'figfall_request_seconds',
      help: 'Time from a request to the end of its response.',
      labelNames: ['route'],
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    firstEventSeconds: new Histogram({
      name: 'figfall_first_event_seconds',
      help: 'Time from a request to the first event of its stream.',
      labelNames: ['route'],
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    backendConnections: new Counter({
      name: 'figfall_backend_connections_total',
      help: 'Connections that requests were written to: new, reused, or reused and then lost without a response (stale).',
      labelNames: ['use'],
      registers,
    }),
    configVersion: new Gauge({
      name: 'figfall_config_version',
      help: 'Version of the configuration in force.',
      registers,
    }),
    linkedGateways: new Gauge({
      name: 'figfall_linked_entries',
      help: 'Linked other gateways.',
      registers,
    }),
    workRelay: new Gauge({
      name: 'figfall_work_relay',
      help: 'Whether this gateway relays changes of work for its zone (1 or 0).',
      registers,
    }),
    workResyncs: new Counter({
      name: 'figfall_work_resyncs_total',
      help: 'Times that a gateway was asked for all of its work, as changes were lost.',
      registers,
    }),
    storeCalls: new Counter({
      name: 'figfall_store_calls_total',
      help: 'Calls to the metadata store, by call and result.',
      labelNames: ['call', 'result'],
      registers,
    }),
    unusableEntries: new Counter({
      name: 'figfall_unusable_entries_total',
      help: 'Entries of service discovery, as read, that name no usable server.',
      registers,
    }),
    defects: new Counter({
      name: 'figfall_defects_total',
      help: 'Requests ended because of an error that nothing expected.',
      registers,
    }),
    processWarnings: new Counter({
      name: 'figfall_process_warnings_total',
      help: 'Warnings of the process by type; Defect is an unexpected error.',
      labelNames: ['type'],
      registers,
    }),
    droppedLogLines: new Counter({
      name: 'figfall_dropped_log_lines_total',
      help: 'Log lines dropped because the output was lost or too slow.',
      registers,
    }),
  };
}
