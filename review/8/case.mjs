import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../lib-2/client.mjs';
import {buildConfig, buildEntry, HOST} from '../lib-2/config.mjs';
import {planGateways, startGateway} from '../lib-2/gateway.mjs';
import {startReplica} from '../lib-2/replica.mjs';
import {runCase} from '../lib-2/run_case.mjs';
import {startStore} from '../lib-2/store.mjs';

const KEY = 'n2ctnfzs989anu6wsjnb';
const GATEWAYS = 12;

/** The store turns away a share of .35 of the machines: 4 of 12. */
const TURNED_AWAY = 4;

const REPLICAS = ['i-a1', 'i-a2', 'i-a3', 'i-a4', 'i-a5', 'i-a6'];
/** One of these leaves in each round. */
const LEAVING = ['i-a3', 'i-a4', 'i-a5', 'i-a6'];

const SETTLE_MS = 5_000;
/** When an entry changes, from the start of a round. */
const CHANGE_AT_MS = 200;
/** When the store serves all again; the first change is out of its history. */
const SERVE_AT_MS = 20_300;
/** When a replica leaves: as the machines that were turned away read again. */
const LEAVE_AT_MS = 20_600;
const ROUND_MS = 24_500;
const INTERVAL_MS = 150;

const DRAIN_MS = 2_000;

await runCase(async ({folder, hasTrouble, record, onEnd}) => {
  const store = await startStore();
  onEnd(() => store.close());
  const arrivals = [];
  const replicas = await Promise.all(
    REPLICAS.map(id =>
      startReplica({
        id,
        slots: 64,
        onArrival: ({attemptId}) => arrivals.push({id, attemptId}),
        run: async ({res, echo, seal}) => {
          await sleep(20);
          const head = {...echo, 'x-response-seal': seal, 'content-length': 2};
          res.writeHead(200, head).end('ok');
        },
      }),
    ),
  );
  replicas.forEach(replica => onEnd(() => replica.close()));
  store.put('config', 'main', buildConfig({version: 1, keys: {lab: [KEY]}}));
  const write = ({id, address, slots}, sequence) => {
    const entry = buildEntry({service: 'einspeise-app', address, slots});
    store.put('servers', id, {...entry, sequence});
  };
  replicas.forEach(replica => write(replica, 1));
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
  record(
    `turned away: ${turnedAway.map(idOf).join(' ')}; served all the time: ${served.map(idOf).join(' ')}`,
  );

  const sent = new Map();
  const pending = [];
  const leftAt = new Map();
  const startedAt = performance.now();
  const waitUntil = async ms => {
    while (performance.now() - startedAt < ms) {
      served.forEach(gateway => {
        const id = `booking-${sent.size + 1}`;
        sent.set(id, {gateway: gateway.name, at: performance.now()});
        const call = {path: '/booking/1', body: 'dose', deadlineMs: 4_000};
        pending.push(
          sendRequest(gateway, {id, key: KEY, host: HOST, ...call}).then(
            ({status}) => (sent.get(id).status = status),
          ),
        );
      });
      await sleep(INTERVAL_MS);
    }
  };
  for (const [round, id] of LEAVING.entries()) {
    const from = round * ROUND_MS;
    if (hasTrouble) store.turnAway(turnedAway.map(({name}) => name));
    await waitUntil(from + CHANGE_AT_MS);
    write(replicas[0], round + 2);
    await waitUntil(from + SERVE_AT_MS);
    store.serveAll();
    await waitUntil(from + LEAVE_AT_MS);
    store.remove('servers', id);
    leftAt.set(id, performance.now());
    await waitUntil(from + ROUND_MS);
  }
  await Promise.all(pending);

  const late = arrivals.flatMap(({id, attemptId}) => {
    const {gateway, at} = sent.get(attemptId);
    const afterMs = Math.round(at - (leftAt.get(id) ?? Infinity));
    return afterMs > DRAIN_MS ? [{id, attemptId, gateway, afterMs}] : [];
  });
  LEAVING.forEach(id => {
    const own = late.filter(arrival => arrival.id === id);
    const names = [...new Set(own.map(({gateway}) => gateway))];
    const last = Math.max(0, ...own.map(({afterMs}) => afterMs));
    record(
      `${id}: ${own.length} requests too late from ${names.join(' ') || 'none'}, the last one sent ${last} ms after the removal of its entry`,
    );
  });
  leftAt.forEach((time, id) =>
    record(`${Math.round(time - startedAt)} ms: the entry of ${id} is removed`),
  );
  const reached = new Map();
  arrivals.forEach(({id, attemptId}) =>
    reached.set(attemptId, [...(reached.get(attemptId) ?? []), id]),
  );
  const lateIds = new Set(late.map(({attemptId}) => attemptId));
  sent.forEach(({gateway, at, status = '-'}, id) =>
    record(
      `${Math.round(at - startedAt)} ms: ${id} to ${gateway}, run by ${reached.get(id)?.join(' ') ?? 'none'}, status ${status}${lateIds.has(id) ? ', too late' : ''}`,
    ),
  );
  record(
    `requests: ${sent.size}; that reached a replica more than ${DRAIN_MS} ms after the store had acknowledged the removal of its entry: ${late.length}`,
  );
  return late.length > 0;
});
