import {spawn} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {freePort, loopbackHost} from './addresses.mjs';

/** The command of deploy/system.toml, without the name of Node.js. */
const ARGS = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  'target/figfall.cjs',
];

const READY_INTERVAL_MS = 50;
const READY_LIMIT_MS = 15_000;

/** Bounds of sites/lindenau-biogas.toml. */
const BOUNDS = {
  contactTimeoutMs: 3_000,
  drainMs: 2_000,
  gracePeriodS: 8,
  configPropagationMs: 2_000,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 104,
};

/** Addresses of the gateways of a case; links use the same port everywhere. */
export async function planGateways(count) {
  const hosts = Array.from({length: count}, () => loopbackHost());
  const linkPort = await freePort(hosts[0]);
  return Promise.all(
    hosts.map(async (host, i) => ({
      name: `front-nord-${i + 1}`,
      host,
      linkPort,
      seeds: hosts.slice(0, 3).map(seed => `${seed}:${linkPort}`),
      callerPort: await freePort(host),
      readyPort: await freePort(host),
    })),
  );
}

function isReady({host, readyPort: port}) {
  return new Promise(resolve => {
    const req = get({host, port, path: '/-/readiness', agent: false}, res => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on('error', () => resolve(false));
  });
}

/** Starts a gateway as the deploy file does, and waits until it is ready. */
export async function startGateway(plan, {folder, storeAddress}) {
  const {name, host, linkPort, seeds, callerPort, readyPort} = plan;
  const settingsPath = join(folder, `${name}.json`);
  const settings = {
    nodeName: name,
    role: 'gateway',
    machineClass: 'front',
    serves: ['front', 'control'],
    ipAddress: host,
    zone: 'nord',
    region: 'mitte',
    zones: {nord: 'mitte'},
    listenAddresses: {
      front: `${host}:${callerPort}`,
      ready: `${host}:${readyPort}`,
    },
    internalPortRange: [linkPort, linkPort],
    seedNodes: seeds,
    bootstrap: true,
    limits: {cpuShare: 0.513, cpuCores: 1, memoryMb: 350, linkMbps: 1_000},
    dataDirectory: null,
    bounds: BOUNDS,
    platform: {address: storeAddress, form: 'objects'},
  };
  writeFileSync(settingsPath, JSON.stringify(settings));
  const child = spawn(process.execPath, ARGS, {
    env: {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      FIGFALL_NODE_FILE: settingsPath,
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let log = '';
  child.stdout.on('data', chunk => (log += String(chunk)));
  child.stderr.on('data', chunk => (log += String(chunk)));
  const ended = new Promise(resolve => {
    child.once('exit', (code, signal) => resolve({code, signal}));
  });
  const until = performance.now() + READY_LIMIT_MS;
  while (!(await isReady(plan))) {
    if (performance.now() > until) throw new Error(`${name} is not ready`);
    await sleep(READY_INTERVAL_MS);
  }
  return {
    ...plan,
    pid: child.pid,
    log: () => log,
    kill: async () => {
      child.kill('SIGKILL');
      return ended;
    },
  };
}
