import {Gauge} from 'prom-client';
import type {Fleet} from './fleet.js';
import type {GatewayMetrics} from './gateway_metrics.js';

const SERVER_STATES = [
  'ready',
  'draining',
  'zoneOut',
  'avoided',
  'working',
] as const;

/** Adds gauges of what a gateway knows, read when the metrics are asked for. */
export function addFleetGauges({registry}: GatewayMetrics, fleet: Fleet): void {
  const registers = [registry];
  new Gauge({
    name: 'figfall_servers',
    help: 'Backend servers by state; one server may be in several.',
    labelNames: ['state'],
    registers,
    collect() {
      const census = fleet.census();
      SERVER_STATES.forEach(state => this.set({state}, census[state]));
    },
  });
  new Gauge({
    name: 'figfall_waiting_prompts',
    help: 'Prompts that wait for servers, at all linked gateways.',
    registers,
    collect() {
      this.set(fleet.census().waiting);
    },
  });
  new Gauge({
    name: 'figfall_memory_bytes',
    help: 'Memory of the process.',
    registers,
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
  new Gauge({
    name: 'figfall_cpu_seconds',
    help: 'Processor time of the process since its start.',
    registers,
    collect() {
      const {user, system} = process.cpuUsage();
      this.set((user + system) / 1_000_000);
    },
  });
}
