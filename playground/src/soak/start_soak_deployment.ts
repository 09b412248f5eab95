import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  FakeBackendServer,
  fakeStoreObjects,
  buildSettingsFile,
  startFakeStore,
} from '@figfall/gateway-server/testing';
import type {
  BackendArrival,
  BackendRun,
  NoticeResponse,
  RequestExecution,
} from '@figfall/gateway-server/testing';
import {startRelay} from '../network/start_relay.js';
import {GatewayProcess} from './gateway_process.js';
import {MEMORY_LIMIT_MB} from './memory_limit_mb.js';
import {SOAK_PORTS} from './soak_ports.js';
import {SoakServer} from './soak_server.js';
import {SOAK_ZONES} from './soak_zones.js';

interface SoakDeploymentOptions {
  /** Number of gateways. */
  readonly gateways: number;
  /** Number of model engines. */
  readonly modelEngines: number;
  /** Number of plain services. */
  readonly plainServices: number;
  /** Selects the loopback subnet, so that runs on one machine don't collide. */
  readonly subnetIndex: number;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  /** True if a prompt with these parts crashes a model engine. */
  readonly crashesOn: (promptParts: string) => boolean;
  /** True if servers keep their request rates to themselves. */
  readonly hidesLimit: boolean;
}

/** A gateway process with the relay between it and the store. */
interface SoakGateway {
  readonly name: string;
  readonly host: string;
  readonly process: GatewayProcess;
  readonly settingsPath: string;
  /** Whole text of the settings file. */
  readonly settings: string;
  readonly storeRelay: Awaited<ReturnType<typeof startRelay>>;
}

/** The running parts of a soak deployment and what they reported. */
interface SoakDeployment {
  /** Temporary folder with settings files and logs. */
  readonly folder: string;
  readonly store: Awaited<ReturnType<typeof startFakeStore>>;
  readonly gateways: readonly SoakGateway[];
  readonly servers: readonly SoakServer[];
  /** Serves large responses to slow callers; nothing disturbs it. */
  readonly bulkServer: FakeBackendServer;
  readonly executions: readonly RequestExecution[];
  readonly arrivals: readonly BackendArrival[];
  readonly runs: readonly BackendRun[];
  readonly noticeResponses: readonly NoticeResponse[];
  /** Reasons of processes that exited without being asked to. */
  readonly unexpectedExits: readonly string[];
  /** Writes a new version of the configuration to the store and returns it. */
  readonly updateConfig: (change: Partial<ConfigState>) => ConfigState;
  readonly currentConfig: () => ConfigState;
}

/** The parts of the configuration that a run sets. */
interface ConfigState {
  readonly version: number;
  /** API keys by workspace. */
  readonly keys: Readonly<Record<string, readonly string[]>>;
  readonly hasReadRoute: boolean;
}

const INITIAL_CONFIG: ConfigState = {
  version: 1,
  keys: {lindenau: ['key-a', 'key-b'], thistlebrae: ['key-c']},
  hasReadRoute: true,
};

/** More than all slow callers of a run use at once. */
const BULK_SLOTS = 1_000;

function zoneOf(index: number): string {
  return SOAK_ZONES[index % SOAK_ZONES.length] ?? '';
}

/**
 * Starts a fake store, fake backend servers and gateway processes, with relays
 * in front of the store and of each backend server.
 */
export async function startSoakDeployment(
  options: SoakDeploymentOptions,
): Promise<SoakDeployment> {
  const {now, subnetIndex} = options;
  const folder = mkdtempSync(join(tmpdir(), 'figfall-soak-'));
  const store = await startFakeStore();
  const executions: RequestExecution[] = [];
  const arrivals: BackendArrival[] = [];
  const runs: BackendRun[] = [];
  const noticeResponses: NoticeResponse[] = [];
  const unexpectedExits: string[] = [];
  let config = INITIAL_CONFIG;
  const updateConfig = (change: Partial<ConfigState>): ConfigState => {
    config = {...config, ...change, version: config.version + 3};
    store.put('config', 'main', fakeStoreObjects.config(config));
    return config;
  };
  updateConfig({});
  const kinds = [
    ...Array.from({length: options.modelEngines}, () => 'model' as const),
    ...Array.from({length: options.plainServices}, () => 'plain' as const),
  ];
  const servers = kinds.map(
    (kind, i) =>
      new SoakServer({
        name: `${kind}-${i}`,
        kind,
        zone: zoneOf(i),
        now,
        onExecution: execution => executions.push(execution),
        onArrival: arrival => arrivals.push(arrival),
        onRunEnd: run => runs.push(run),
        onNotice: notice => noticeResponses.push(notice),
        crashesOn: options.crashesOn,
        hidesLimit: options.hidesLimit,
        putEntry: (serverId, entry) => store.put('servers', serverId, entry),
        removeEntry: serverId => store.remove('servers', serverId),
      }),
  );
  await Promise.all(servers.map(server => server.start()));
  const bulkServer = new FakeBackendServer({
    kind: 'plain',
    slots: BULK_SLOTS,
    tokensPerMs: 0,
    kvCacheTokens: 0,
    now,
    onExecution: execution => executions.push(execution),
  });
  await bulkServer.start('bulk-1');
  const bulkEntry = fakeStoreObjects.server({
    service: 'bulk',
    port: bulkServer.port,
    zone: zoneOf(0),
    slots: BULK_SLOTS,
    isDraining: false,
    coldMs: 0,
    bornAt: Date.now(),
  });
  store.put('servers', bulkServer.serverId, bulkEntry);
  const hosts = Array.from(
    {length: options.gateways},
    (_, i) =>
      `127.${100 + Math.floor(subnetIndex / 250)}.${subnetIndex % 250}.${i + 1}`,
  );
  const gateways = await Promise.all(
    hosts.map(async (host, i) => {
      const name = `gateway-${i}`;
      const storeRelay = await startRelay(() => store.port);
      const settingsPath = join(folder, `${name}.json`);
      const settings = buildSettingsFile({
        name,
        host,
        zone: zoneOf(i),
        callerPort: SOAK_PORTS.callers,
        readyPort: SOAK_PORTS.ready,
        linkPort: SOAK_PORTS.links,
        seedHosts: hosts.slice(0, 3),
        storePort: storeRelay.port,
        memoryMb: MEMORY_LIMIT_MB,
      });
      writeFileSync(settingsPath, settings);
      const gateway = new GatewayProcess({
        name,
        settingsPath,
        logPath: join(folder, `${name}.log`),
        onUnexpectedExit: reason => unexpectedExits.push(reason),
      });
      gateway.start();
      return {
        ...{name, host, settingsPath, settings, storeRelay},
        process: gateway,
      };
    }),
  );
  return {
    folder,
    store,
    gateways,
    servers,
    bulkServer,
    executions,
    arrivals,
    runs,
    noticeResponses,
    unexpectedExits,
    updateConfig,
    currentConfig: () => config,
  };
}
