/** Starts the project's own program as the deploy file says. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const READY_TIMEOUT_MS = 10_000;
const READY_INTERVAL_MS = 100;

/** The bounds of the small deployments. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactTimeoutMs: 3000,
  confirmationMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  gracePeriodS: 8,
  lossSlackMs: 200,
  configPropagationMs: 2000,
  downgradeSlackMs: 250,
  maxStretchMs: 5000,
  strictRevocation: false,
  revocationMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 104,
  coldOvershoot: 1.5,
  coldSlack: 5,
  evacuationMs: 5000,
  recoveryS: 12,
  passMs: 120,
  retryAfterS: 0,
  stall_ms: 1500,
  holdMaxMs: 20000,
  freeMs: 4000,
  idleMaxMs: 9000,
};

/** The command of the deploy file's only role. */
function deployCommand(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [, command = ''] = /^run = "(.*)"$/m.exec(text) ?? [];
  return command.split(' ');
}

async function freePort(host) {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const {port} = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

/** One gateway process. Its address is used by no other process. */
export class Gateway {
  constructor({root, folder, name, host, zone, linkPort, seeds, store}) {
    Object.assign(this, {root, folder, name, host, zone, linkPort, seeds});
    this.store = store;
  }

  async start() {
    await this.spawn();
    await this.#untilReady();
  }

  /** Starts the process without waiting until it is ready. */
  async spawn() {
    this.port ??= await freePort(this.host);
    this.readyPort ??= await freePort(this.host);
    const path = join(this.folder, `${this.name}.json`);
    writeFileSync(path, JSON.stringify(this.#settings()));
    const [command, ...args] = deployCommand(this.root);
    this.child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: this.root,
      env: {PATH: process.env.PATH, FIGFALL_NODE_FILE: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exit = undefined;
    const log = createWriteStream(join(this.folder, `${this.name}.log`), {
      flags: 'a',
    });
    this.child.stdout.pipe(log, {end: false});
    this.child.stderr.pipe(log, {end: false});
    this.stderr = '';
    this.child.stderr.on('data', chunk => (this.stderr += chunk));
    this.child.on('exit', (code, signal) => (this.exit = {code, signal}));
  }

  kill(signal) {
    if (!this.exit) this.child.kill(signal);
  }

  async stop() {
    if (!this.child || this.exit) return;
    this.isStopping = true;
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }

  async #untilReady() {
    const until = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < until && !this.exit) {
      if (await this.#isReady()) return;
      await sleep(READY_INTERVAL_MS);
    }
    throw new Error(`${this.name} did not become ready`);
  }

  #isReady() {
    return new Promise(resolve => {
      const req = get(
        {host: this.host, port: this.readyPort, path: '/-/readiness'},
        res => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.on('error', () => resolve(false));
    });
  }

  #settings() {
    return {
      nodeName: this.name,
      role: 'gateway',
      machineClass: 'front',
      serves: ['front', 'control'],
      ipAddress: this.host,
      zone: this.zone,
      region: 'mitte',
      zones: {nord: 'mitte', werk: 'mitte', sued: 'mitte'},
      listenAddresses: {
        front: `${this.host}:${this.port}`,
        ready: `${this.host}:${this.readyPort}`,
        control: `${this.host}:${this.linkPort}`,
      },
      internalPortRange: [this.linkPort, this.linkPort + 15],
      seedNodes: this.seeds.map(seed => `${seed}:${this.linkPort}`),
      bootstrap: true,
      countsTowardTolerance: false,
      limits: {
        cpuShare: 0.513,
        cpuCores: 1,
        memoryMb: 350,
        fileDescriptors: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDirectory: null,
      discovery: 'platform',
      entry: 'virtual_ip',
      heartbeatIntervalMs: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
      faultTolerance: {machines: 2, zones: 1, regions: 0},
      bounds: BOUNDS,
      platform: {
        address: this.store.address,
        form: 'objects',
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1048576,
        minimumLifetimeMs: 1000,
      },
    };
  }
}
