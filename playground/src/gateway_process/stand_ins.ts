import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  FakeBackendServer,
  buildSettingsFile,
  fakeStoreObjects,
  startFakeStore,
} from '@figfall/gateway-server/testing';
import {SOAK_PORTS} from '../soak/soak_ports.js';
import {loopbackHost} from './loopback_host.js';

const SLOTS = 64;

const ZONE = 'nord';

/** What a gateway process needs beside it: a store, a plain service, settings. */
export class StandIns {
  /** Folder of settings files, which is deleted at the end. */
  readonly folder = mkdtempSync(join(tmpdir(), 'figfall-edge-'));
  /** Address of the gateway. */
  readonly host = loopbackHost();
  readonly settingsPath = join(this.folder, 'settings.json');

  private constructor(
    readonly store: Awaited<ReturnType<typeof startFakeStore>>,
    readonly server: FakeBackendServer,
  ) {
    writeFileSync(this.settingsPath, this.settings());
  }

  static async start(): Promise<StandIns> {
    const server = new FakeBackendServer({
      kind: 'plain',
      slots: SLOTS,
      tokensPerMs: 200,
      kvCacheTokens: 100_000,
      now: () => performance.now(),
      onExecution: () => undefined,
    });
    await server.start('plain-1');
    const store = await startFakeStore();
    const keys = {lindenau: ['key-a']};
    const config = {version: 1, keys, hasReadRoute: true};
    store.put('config', 'main', fakeStoreObjects.config(config));
    const entry = fakeStoreObjects.server({
      service: 'plain',
      port: server.port,
      zone: ZONE,
      slots: SLOTS,
      isDraining: false,
      coldMs: 0,
      bornAt: 1,
    });
    store.put('servers', server.serverId, entry);
    return new StandIns(store, server);
  }

  /** Text of the gateway's settings file. */
  settings(): string {
    return buildSettingsFile({
      name: 'gateway-0',
      host: this.host,
      zone: ZONE,
      callerPort: SOAK_PORTS.callers,
      readyPort: SOAK_PORTS.ready,
      linkPort: SOAK_PORTS.links,
      seedHosts: [this.host],
      storePort: this.store.port,
    });
  }

  async close(): Promise<void> {
    await this.server.crash();
    await this.store.close();
    rmSync(this.folder, {recursive: true});
  }
}
