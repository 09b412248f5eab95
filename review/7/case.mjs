import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../lib-2/client.mjs';
import {buildConfig, buildEntry, HOST} from '../lib-2/config.mjs';
import {planGateways, startGateway} from '../lib-2/gateway.mjs';
import {startReplica} from '../lib-2/replica.mjs';
import {runCase} from '../lib-2/run_case.mjs';
import {startStore} from '../lib-2/store.mjs';

const KEPT_KEY = 'n2ctnfzs989anu6wsjnb';
const REVOKED_KEY = 'q8wtmf2s481xnu6wabcd';

const GATEWAYS = 12;

/** The store turns away a share of .35 of the machines: 4 of 12. */
const TURNED_AWAY = 4;

const SETTLE_MS = 6_000;
const REVOKE_AFTER_MS = 200;
const PLAY_MS = 12_000;
const INTERVAL_MS = 100;

const CONFIG_PROPAGATION_MS = 2_000;

await runCase(async ({folder, hasTrouble, record, onEnd}) => {
  const store = await startStore();
  onEnd(() => store.close());
  const runs = new Map();
  const replicas = await Promise.all(
    ['i-a1', 'i-a2', 'i-a3'].map(id =>
      startReplica({
        id,
        slots: 64,
        run: async ({res, echo, seal, attemptId}) => {
          runs.set(attemptId, performance.now());
          await sleep(10);
          const head = {...echo, 'x-response-seal': seal, 'content-length': 2};
          res.writeHead(200, head).end('ok');
        },
      }),
    ),
  );
  replicas.forEach(replica => onEnd(() => replica.close()));
  const bothKeys = {lab: [KEPT_KEY, REVOKED_KEY]};
  store.put('config', 'main', buildConfig({version: 1, keys: bothKeys}));
  replicas.forEach(({id, address, slots}) =>
    store.put(
      'servers',
      id,
      buildEntry({service: 'einspeise-app', address, slots}),
    ),
  );
  const plans = await planGateways(GATEWAYS);
  const gateways = await Promise.all(
    plans.map(async plan => {
      const storeAddress = await store.open(plan.name);
      const gateway = await startGateway(plan, {folder, storeAddress});
      onEnd(() => gateway.kill());
      return gateway;
    }),
  );
  await sleep(SETTLE_MS);

  const idOf = ({host, linkPort}) => `${host}:${linkPort}`;
  const byId = gateways.toSorted((a, b) => (idOf(a) < idOf(b) ? -1 : 1));
  const turnedAway = byId.slice(0, TURNED_AWAY);
  const served = byId.slice(TURNED_AWAY);
  if (hasTrouble) {
    store.silence(turnedAway.map(({name}) => name));
    record(
      `the store is silent to ${turnedAway.map(idOf).join(' ')} and serves ${served.map(idOf).join(' ')}`,
    );
  }
  await sleep(REVOKE_AFTER_MS);
  const oneKey = {lab: [KEPT_KEY]};
  store.put('config', 'main', buildConfig({version: 2, keys: oneKey}));
  const revokedAt = performance.now();
  record('the operator takes a key away; the store acknowledges at 0 ms');

  const outcomes = [];
  const pending = [];
  let count = 0;
  while (performance.now() - revokedAt < PLAY_MS) {
    served.forEach(gateway => {
      count += 1;
      const id = `read-${count}`;
      const call = {method: 'GET', path: '/status/1', deadlineMs: 4_000};
      pending.push(
        sendRequest(gateway, {id, key: REVOKED_KEY, host: HOST, ...call}).then(
          outcome => outcomes.push(outcome),
        ),
      );
    });
    await sleep(INTERVAL_MS);
  }
  await Promise.all(pending);

  const stale = outcomes.filter(
    ({id, sentAt}) =>
      runs.has(id) && sentAt - revokedAt > CONFIG_PROPAGATION_MS,
  );
  served.forEach(gateway => {
    const ranAt = outcomes
      .filter(({id, gateway: name}) => name === gateway.name && runs.has(id))
      .map(({sentAt}) => Math.round(sentAt - revokedAt));
    record(
      `${idOf(gateway)}: ${ranAt.length} requests with the key ran, the last one sent at ${Math.max(0, ...ranAt)} ms`,
    );
  });
  outcomes
    .toSorted((a, b) => a.sentAt - b.sentAt)
    .forEach(outcome => {
      const {id, gateway, sentAt, status = '-'} = outcome;
      const isRun = runs.has(id) ? 'run' : 'not run';
      const verdict = stale.includes(outcome) ? ', too late' : '';
      record(
        `${Math.round(sentAt - revokedAt)} ms: ${id} with the key to ${gateway}, status ${status}, ${isRun}${verdict}`,
      );
    });
  record(
    `requests with the key: ${outcomes.length}; run though sent later than ${CONFIG_PROPAGATION_MS} ms after the acknowledgement: ${stale.length}`,
  );
  return stale.length > 0;
});
