import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  fakeStoreObjects,
  buildSettingsFile,
  startFakeStore,
} from '@figfall/gateway-server/testing';
import type {RequestExecution} from '@figfall/gateway-server/testing';
import {startRelay} from '../network/start_relay.js';
import {GatewayProcess} from './gateway_process.js';
import {SOAK_PORTS} from './soak_ports.js';
import {SoakServer} from './soak_server.js';
import {SOAK_ZONES} from './soak_zones.js';

interface WorldOptions {
  readonly gateways: number;
  readonly models: number;
  readonly plains: number;
  /** Number that sets the addresses of runs on one machine apart. */
  readonly network: number;
  readonly now: () => number;
}

/** A gateway of the run, as callers and actions know it. */
interface SoakGateway {
  readonly name: string;
  readonly host: string;
  readonly process: GatewayProcess;
  readonly storeRelay: Awaited<ReturnType<typeof startRelay>>;
}

/** All that takes part in a run. */
interface SoakWorld {
  readonly folder: string;
  readonly store: Awaited<ReturnType<typeof startFakeStore>>;
  readonly gateways: readonly SoakGateway[];
  readonly servers: readonly SoakServer[];
  readonly runs: readonly RequestExecution[];
  readonly crashes: readonly string[];
  /** Writes the next version of the configuration; returns the keys in it. */
  readonly configure: (change: Partial<ConfigState>) => ConfigState;
  readonly config: () => ConfigState;
}

interface ConfigState {
  readonly version: number;
  readonly keys: Readonly<Record<string, readonly string[]>>;
  readonly hasReadRoute: boolean;
}

const FIRST_CONFIG: ConfigState = {
  version: 1,
  keys: {lindenau: ['key-a', 'key-b'], thistlebrae: ['key-c']},
  hasReadRoute: true,
};

function zoneOf(index: number): string {
  return SOAK_ZONES[index % SOAK_ZONES.length] ?? '';
}

/** Starts a store, backend servers and gateways, with relays between them. */
export async function startSoakWorld(
  options: WorldOptions,
): Promise<SoakWorld> {
  const {now, network} = options;
  const folder = mkdtempSync(join(tmpdir(), 'figfall-soak-'));
  const store = await startFakeStore();
  const runs: RequestExecution[] = [];
  const crashes: string[] = [];
  let config = FIRST_CONFIG;
  const configure = (change: Partial<ConfigState>): ConfigState => {
    config = {...config, ...change, version: config.version + 3};
    store.put('config', 'main', fakeStoreObjects.config(config));
    return config;
  };
  configure({});
  const kinds = [
    ...Array.from({length: options.models}, () => 'model' as const),
    ...Array.from({length: options.plains}, () => 'plain' as const),
  ];
  const servers = kinds.map(
    (kind, i) =>
      new SoakServer({
        name: `${kind}-${i}`,
        kind,
        zone: zoneOf(i),
        now,
        onRun: run => runs.push(run),
        put: (name, entry) => store.put('servers', name, entry),
        remove: name => store.remove('servers', name),
      }),
  );
  await Promise.all(servers.map(server => server.start()));
  const hosts = Array.from(
    {length: options.gateways},
    (_, i) =>
      `127.${100 + Math.floor(network / 250)}.${network % 250}.${i + 1}`,
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
      });
      writeFileSync(settingsPath, settings);
      const gateway = new GatewayProcess({
        name,
        settingsPath,
        logPath: join(folder, `${name}.log`),
        onCrash: reason => crashes.push(reason),
      });
      gateway.start();
      return {name, host, process: gateway, storeRelay};
    }),
  );
  return {
    folder,
    store,
    gateways,
    servers,
    runs,
    crashes,
    configure,
    config: () => config,
  };
}
