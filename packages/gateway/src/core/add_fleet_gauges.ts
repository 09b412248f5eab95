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

type LimitStatus = NonNullable<ReturnType<Fleet['limits']['status']>>;

/** Sets a gauge's value for each limited server, and only for these. */
function setForLimited(
  gauge: Gauge<'server'>,
  {limits}: Fleet,
  valueOf: (status: LimitStatus) => number,
): void {
  gauge.reset();
  limits.limitedServerIds().forEach(server => {
    const status = limits.status(server);
    if (status) gauge.set({server}, valueOf(status));
  });
}

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
    name: 'figfall_server_pace',
    help: 'Duration of the work of a slow backend server, relative to what it declares.',
    labelNames: ['server'],
    registers,
    collect() {
      this.reset();
      fleet.paces.slow().forEach(([server, pace]) => this.set({server}, pace));
    },
  });
  new Gauge({
    name: 'figfall_server_limit',
    help: 'Requests a second that a backend server takes from all gateways.',
    labelNames: ['server'],
    registers,
    collect() {
      setForLimited(this, fleet, ({limitPerSecond}) => limitPerSecond);
    },
  });
  new Gauge({
    name: 'figfall_server_limit_sent',
    help: 'Requests that this gateway sent to a limited backend server in the last 4 s.',
    labelNames: ['server'],
    registers,
    collect() {
      setForLimited(this, fleet, ({limitSent}) => limitSent);
    },
  });
  new Gauge({
    name: 'figfall_server_limit_permits',
    help: 'Requests that this gateway may send to a limited backend server now.',
    labelNames: ['server'],
    registers,
    collect() {
      setForLimited(this, fleet, ({limitPermits}) => limitPermits);
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
    name: 'figfall_slot_waits',
    help: 'Requests waiting for slots at this gateway and linked ones.',
    registers,
    collect() {
      this.set(fleet.work.slots.size);
    },
  });
  new Gauge({
    name: 'figfall_blocked_prompt_parts',
    help: 'Parts of prompts that are refused because servers crash under them.',
    registers,
    collect() {
      this.set(fleet.counts().blocked.parts);
    },
  });
  new Gauge({
    name: 'figfall_blocked_requests',
    help: 'Requests that are refused because servers crash under them.',
    registers,
    collect() {
      this.set(fleet.counts().blocked.requests);
    },
  });
  new Gauge({
    name: 'figfall_forgotten_suspects',
    help: 'Parts and requests that ran as servers were lost, forgotten since there were too many; what crashes servers may be among them.',
    labelNames: ['kind'],
    registers,
    collect() {
      const {parts, requests} = fleet.counts().forgottenSuspects;
      this.set({kind: 'part'}, parts);
      this.set({kind: 'request'}, requests);
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
