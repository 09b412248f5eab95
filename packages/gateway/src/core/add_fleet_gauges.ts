import {Gauge} from 'prom-client';
import type {Fleet} from './fleet.js';
import type {GatewayMetrics} from './gateway_metrics.js';

/** Values of the `state` label, named like the fields of `Fleet.counts`. */
const SERVER_STATES = [
  'ready',
  'draining',
  'zoneOut',
  'avoided',
  'leaving',
  'paused',
  'working',
] as const;

/** Adds gauges of a gateway's fleet and process, collected on each scrape. */
export function addFleetGauges({registry}: GatewayMetrics, fleet: Fleet): void {
  const registers = [registry];
  new Gauge({
    name: 'figfall_servers',
    help: 'Backend servers by state; a server may be in several states.',
    labelNames: ['state'],
    registers,
    collect() {
      const counts = fleet.counts();
      SERVER_STATES.forEach(state => this.set({state}, counts[state]));
    },
  });
  new Gauge({
    name: 'figfall_waiting_prompts',
    help: 'Prompts waiting for servers at this gateway and linked ones.',
    registers,
    collect() {
      this.set(fleet.counts().waiting);
    },
  });
  new Gauge({
    name: 'figfall_blocked_prompt_parts',
    help: 'Parts of prompts that are refused because servers crash under them.',
    registers,
    collect() {
      this.set(fleet.counts().blockedParts);
    },
  });
  new Gauge({
    name: 'figfall_memory_bytes',
    help: 'Resident memory of the process.',
    registers,
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
  new Gauge({
    name: 'figfall_cpu_seconds',
    help: 'CPU time of the process since its start.',
    registers,
    collect() {
      const {user, system} = process.cpuUsage();
      this.set((user + system) / 1_000_000);
    },
  });
}
