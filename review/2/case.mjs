/**
 * An entry of another writer lies among those of the replicas; its address is
 * none. Then a replica crashes, and comes back.
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createBookingRun} from '../lib/bookings.mjs';
import {sendAttempt} from '../lib/client.mjs';
import {CONFIG, HOST, KEY} from '../lib/config.mjs';
import {FakeReplica} from '../lib/replica.mjs';
import {runCase} from '../lib/run_case.mjs';

const REPLICAS = 2;

/** Clients of the gateways, each with a connection that it keeps. */
const CLIENTS = [12, 3, 3];
const PLAY_MS = 40_000;

/** Crashes of one replica each, and the milliseconds between them. */
const CRASHES = 4;
const CRASH_INTERVAL_MS = 9_000;
const FIRST_CRASH_MS = 4_000;
const BACK_MS = 4_500;

/** Milliseconds until a process that ended is started again. */
const RESTART_MS = 500;

/** Milliseconds after which a client that was cut sends its next request. */
const REPEAT_MS = 200;

/** Requests on kept connections that may be cut, by the rule. */
const CUT_MAX = 3;

await runCase(import.meta.url, {gateways: 3, config: CONFIG}, async ctx => {
  const {store, timers, gateways, record, hasTrouble} = ctx;
  /** Replica that ran each attempt last. */
  const ranAt = new Map();
  const run = createBookingRun({
    onRun: ({attemptId, replica}) => {
      ranAt.set(attemptId, replica);
      return false;
    },
    onCrash: () => undefined,
  });
  for (let i = 0; i < REPLICAS; i += 1) {
    const zone = ['nord', 'werk', 'sued'][i];
    const host = ctx.replicaHost(i);
    const options = {store, timers, zone, host, run};
    const replica = new FakeReplica({...options, service: 'app', slots: 6});
    ctx.replicas.push(replica);
    await replica.start();
  }
  let ends = 0;
  const restartAtEnd = gateway =>
    gateway.child.once('exit', (code, signal) => {
      if (gateway.isStopping) return;
      ends += 1;
      const lines = gateway.stderr.split('\n');
      const reason = lines.findLast(line => line.includes('Error'));
      record('gateway ended', {gateway: gateway.name, code, signal, reason});
      timers.set(() => void restart(gateway), RESTART_MS);
    });
  const restart = async gateway => {
    await gateway.spawn();
    restartAtEnd(gateway);
  };
  await Promise.all(gateways.map(gateway => gateway.start()));
  gateways.forEach(restartAtEnd);
  if (hasTrouble) {
    const address = '127.0.0.1:80800';
    const entry = {service: 'app', address, zone: 'nord', version: 'v1'};
    const state = {slots: 6, state: 'ready', coldRemainingMs: 0, sequence: 1};
    store.put('servers', 'i-0badc0de', {...entry, ...state});
    record('entry of another writer', {address});
  }
  await sleep(2_000);

  const startedAt = Date.now();
  const crashed = new Set();
  if (hasTrouble) {
    Array.from({length: CRASHES}, (_, i) =>
      timers.set(
        () => {
          const replica = ctx.replicas[i % REPLICAS];
          record('replica crashes', {replica: replica.id});
          crashed.add(replica.id);
          replica.crash({backMs: BACK_MS});
        },
        FIRST_CRASH_MS + i * CRASH_INTERVAL_MS,
      ),
    );
  }
  const answers = [];
  const runClient = async gateway => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    for (let i = 0; Date.now() - startedAt < PLAY_MS; i += 1) {
      const path = `/status/${i}`;
      const attempt = {gateway, host: HOST, key: KEY, path, agent};
      const seen = await sendAttempt({
        ...attempt,
        method: 'GET',
        deadlineMs: 4_000,
      });
      const replica = ranAt.get(seen.attemptId);
      const isSound = replica !== undefined && !crashed.has(replica);
      const isCut = seen.status === undefined && i > 0 && isSound;
      answers.push({...seen, replica, isCut});
      if (seen.status === undefined) await sleep(REPEAT_MS);
    }
    agent.destroy();
  };
  await Promise.all(
    gateways.flatMap((gateway, i) =>
      Array.from({length: CLIENTS[i]}, () => runClient(gateway)),
    ),
  );
  const cut = answers.filter(({isCut}) => isCut);
  cut.forEach(({attemptId, gateway, replica, ended, error}) =>
    record('cut', {attemptId, gateway, replica, ended, error}),
  );
  const counts = {};
  answers.forEach(({status = 'none'}) => {
    counts[status] = (counts[status] ?? 0) + 1;
  });
  record('summary', {answers: counts, cut: cut.length, ends});
  if (!hasTrouble && Object.keys(counts).some(status => status !== '200')) {
    throw new Error('A request was not served without any disruption.');
  }
  return cut.length > CUT_MAX;
});
