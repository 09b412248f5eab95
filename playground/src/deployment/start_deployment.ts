import type {AgentSettings, EntrySettings} from 'figfall';
import {startFakeEngine} from '../engine/start_fake_engine.js';
import {startFakePlatform} from '../platform/start_fake_platform.js';
import {startFakeService} from '../service/start_fake_service.js';
import {RestartableAgent} from './restartable_agent.js';
import {applyRecords} from './apply_records.js';
import type {DeploymentOptions} from './deployment_options.js';
import {buildDeploymentRecords} from './build_deployment_records.js';
import {RestartableEntry} from './restartable_entry.js';
import {resolveDeploymentOptions} from './resolve_deployment_options.js';
import type {ResolvedDeploymentOptions} from './resolved_deployment_options.js';

const DAY_MS = 86_400_000;

function indexes(count: number): number[] {
  return Array.from({length: count}, (_, i) => i);
}

function nodeSettings(options: ResolvedDeploymentOptions, platformUrl: string) {
  return {
    region: options.region,
    platformUrl,
    linkKey: 'playground-link-key',
    logLevel: options.logLevel,
    traceExporter: options.traceExporter,
    shutdownMs: 30_000,
  };
}

function zoneOf(options: ResolvedDeploymentOptions, i: number): string {
  return options.zones[i % options.zones.length];
}

function agentSettings(
  options: ResolvedDeploymentOptions,
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
  options: ResolvedDeploymentOptions,
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

/**
 * Starts a whole deployment in this process: fakes of the outside systems, an
 * agent beside each backend server, and entries. Resolves once all nodes are
 * started; they may not be ready yet.
 */
export async function startDeployment(overrides: DeploymentOptions = {}) {
  const options = resolveDeploymentOptions(overrides);
  const platform = await startFakePlatform(options.platform);
  const engines = await Promise.all(
    indexes(options.engines).map(() =>
      startFakeEngine({models: ['log-summary@1'], ...options.engine}),
    ),
  );
  const services = await Promise.all(
    indexes(options.services).map(() =>
      startFakeService({delayMs: options.serviceDelayMs}),
    ),
  );
  const {baseUrl} = platform;
  await applyRecords(baseUrl, buildDeploymentRecords(options));
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
      new RestartableAgent(
        platform,
        agentSettings(options, baseUrl, server),
        options.relays,
      ),
  );
  await Promise.all(agents.map(agent => agent.start()));
  const entries = indexes(options.entries).map(
    i => new RestartableEntry(platform, entrySettings(options, baseUrl, i)),
  );
  await Promise.all(entries.map(entry => entry.start()));

  const deployment = {
    options,
    platform,
    engines,
    services,
    agents,
    entries,
    /** Writes configuration records; throws if one is refused. */
    apply: (records: readonly unknown[]) => applyRecords(baseUrl, records),
    /** Takes an availability zone out of service, or back in. */
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
    /** Closes the nodes first, then the fakes. */
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
