/** Runs a case with its stand-ins and gateways, and exits with its verdict. */
import {randomInt} from 'node:crypto';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {Gateway} from './gateway.mjs';
import {FakeStore} from './store.mjs';
import {Timers} from './timers.mjs';

const LIMIT_MS = 118_000;

/** Exit codes, which `run.sh` maps; Node.js itself ends with 1 if it fails. */
const EXIT = {held: 0, broken: 10, failed: 2};

const ZONES = ['nord', 'werk', 'sued'];

/** Ports for links are the same on all machines. */
const LINK_PORTS = {min: 20_000, max: 30_000};

/** A part of 127.0.0.0/8 that other runs are unlikely to use. */
function drawNetwork() {
  return `127.${randomInt(16, 250)}.${randomInt(1, 250)}`;
}

/**
 * Runs `play(ctx)`, which returns true if the rule was broken. `url` is the
 * case's own, beside which `record.txt` is written.
 */
export async function runCase(url, {gateways, config}, play) {
  const folder = dirname(fileURLToPath(url));
  const root = join(folder, '../..');
  const recordPath = join(folder, 'record.txt');
  writeFileSync(recordPath, '');
  const startedAt = Date.now();
  const record = (what, fields = {}) => {
    const atS = ((Date.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(recordPath, `${atS} ${what} ${JSON.stringify(fields)}\n`);
  };
  const scratch = mkdtempSync(join(tmpdir(), 'figfall-review-'));
  const timers = new Timers();
  const store = new FakeStore();
  const network = drawNetwork();
  const linkPort = randomInt(LINK_PORTS.min, LINK_PORTS.max);
  const hosts = Array.from({length: gateways}, (_, i) => `${network}.${i + 1}`);
  const processes = hosts.map(
    (host, i) =>
      new Gateway({
        root,
        folder: scratch,
        name: `front-${ZONES[i % ZONES.length]}-${i + 1}`,
        host,
        zone: ZONES[i % ZONES.length],
        linkPort,
        seeds: hosts.slice(0, 3),
        store,
      }),
  );
  const replicas = [];
  const ctx = {
    store,
    timers,
    replicas,
    gateways: processes,
    record,
    scratch,
    replicaHost: i => `${network}.${i + 101}`,
    hasTrouble: process.env.TROUBLE !== '0',
  };
  const end = async code => {
    timers.clear();
    await Promise.all(processes.map(gateway => gateway.stop()));
    replicas.filter(({isUp}) => isUp).forEach(replica => replica.stop());
    store.stop();
    if (process.env.KEEP !== '1') rmSync(scratch, {recursive: true});
    process.exit(code);
  };
  ['SIGTERM', 'SIGINT', 'uncaughtException', 'unhandledRejection'].forEach(
    event =>
      process.once(event, cause => {
        record('ended early', {event, cause: String(cause?.stack ?? cause)});
        void end(EXIT.failed);
      }),
  );
  setTimeout(() => {
    record('time limit');
    void end(EXIT.failed);
  }, LIMIT_MS);
  try {
    await store.start();
    store.put('config', 'main', config);
    record('start', {trouble: ctx.hasTrouble, gateways});
    const isBroken = await play(ctx);
    record(isBroken ? 'rule broken' : 'rule held');
    await end(isBroken ? EXIT.broken : EXIT.held);
  } catch (error) {
    record('could not run', {error: error.stack});
    await end(EXIT.failed);
  }
}
