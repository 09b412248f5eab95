import type {AgentSettings, EntrySettings} from 'figfall';
import {startEngine} from '../engine/start_engine.js';
import {startPlatform} from '../platform/start_platform.js';
import {startService} from '../service/start_service.js';
import {AgentUnit} from './agent_unit.js';
import {applyRecords} from './apply_records.js';
import type {DeploymentOptions} from './deployment_options.js';
import {deploymentRecords} from './deployment_records.js';
import {EntryUnit} from './entry_unit.js';
import {resolveDeployment} from './resolve_deployment.js';
import type {ResolvedDeployment} from './resolved_deployment.js';

const DAY_MS = 86_400_000;

function numbers(count: number): number[] {
  return Array.from({length: count}, (_, i) => i);
}

function nodeSettings(options: ResolvedDeployment, platformUrl: string) {
  return {
    region: options.region,
    platformUrl,
    linkKey: 'playground-link-key',
    logLevel: options.logLevel,
    traceExporter: options.traceExporter,
    shutdownMs: 30_000,
  };
}

function zoneOf(options: ResolvedDeployment, i: number): string {
  return options.zones[i % options.zones.length];
}

function agentSettings(
  options: ResolvedDeployment,
  platformUrl: string,
  server: {
    readonly name: string;
    readonly url: string;
    readonly zone: string;
  },
): AgentSettings {
  return {
    ...nodeSettings(options, platformUrl),
    id: `agent-${server.name}`,
    zone: server.zone,
    backendServer: server.name,
    backendUrl: server.url,
    linkHost: '127.0.0.1',
    linkPort: 0,
    metricsPort: 0,
    ledgerWritesPerSecond: 100,
    keyRetentionMs: DAY_MS,
    weightStoreLoads: 4,
  };
}

function entrySettings(
  options: ResolvedDeployment,
  platformUrl: string,
  i: number,
): EntrySettings {
  return {
    ...nodeSettings(options, platformUrl),
    id: `entry-${i + 1}`,
    zone: zoneOf(options, i),
    httpHost: '127.0.0.1',
    httpPort: i === 0 ? options.httpPort : 0,
    routingPolicy: options.policy,
    linksPerTarget: options.linksPerTarget,
  };
}

/** Starts stand-ins, agents and entries in one process. */
export async function startDeployment(overrides: DeploymentOptions = {}) {
  const options = resolveDeployment(overrides);
  const platform = await startPlatform(options.platform);
  const engines = await Promise.all(
    numbers(options.engines).map(() =>
      startEngine({models: ['log-summary@1'], ...options.engine}),
    ),
  );
  const services = await Promise.all(
    numbers(options.services).map(() =>
      startService({delayMs: options.serviceDelayMs}),
    ),
  );
  const {baseUrl} = platform;
  await applyRecords(baseUrl, deploymentRecords(options));
  const servers = [
    ...engines.map(({baseUrl: url}, i) => ({
      name: `engine-${i + 1}`,
      url,
      zone: zoneOf(options, i),
    })),
    ...services.map(({baseUrl: url}, i) => ({
      name: `booking-${i + 1}`,
      url,
      zone: zoneOf(options, i),
    })),
  ];
  const agents = servers.map(
    server =>
      new AgentUnit(
        platform,
        agentSettings(options, baseUrl, server),
        options.relays,
      ),
  );
  await Promise.all(agents.map(agent => agent.start()));
  const entries = numbers(options.entries).map(
    i => new EntryUnit(platform, entrySettings(options, baseUrl, i)),
  );
  await Promise.all(entries.map(entry => entry.start()));

  const deployment = {
    options,
    platform,
    engines,
    services,
    agents,
    entries,
    apply: (records: readonly unknown[]) => applyRecords(baseUrl, records),
    /** Takes an availability zone out, or back in. */
    setZone: (name: string, state: 'in' | 'out') =>
      applyRecords(baseUrl, [
        {
          kind: 'availability-zone',
          schemaVersion: 1,
          name,
          state,
          since: new Date().toISOString(),
        },
      ]),
    close: async () => {
      await Promise.all([
        ...entries.map(entry => entry.kill()),
        ...agents.map(agent => agent.close()),
      ]);
      await Promise.all([
        platform.close(),
        ...engines.map(engine => engine.close()),
        ...services.map(service => service.close()),
      ]);
    },
  };
  return deployment;
}
