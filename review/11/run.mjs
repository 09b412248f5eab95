/**
 * One of three replicas of the booking application fails part of its requests
 * after it has run them: it answers 503 without `X-Not-Executed`.
 */
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-3/case.mjs';
import {newRequestId, send} from '../lib-3/client.mjs';
import {SERVICES, config} from '../lib-3/config.mjs';
import {planDeployment, startGateway} from '../lib-3/gateway.mjs';
import {startReplica} from '../lib-3/replica.mjs';
import {startStore} from '../lib-3/store.mjs';

/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

/** Of 20 requests at the failing replica, those that fail: x = 0.45. */
const FAILING_OF_20 = 9;

const TROUBLE_MS = 6_500;
const CALM_MS = 2_000;
const INTERVAL_MS = 100;
const WORK_MS = 40;
const ZONES = ['nord', 'werk', 'sued'];

await runCase(import.meta.url, async ({record, cleanup, hasTrouble}) => {
  const store = await startStore();
  cleanup(store.close);
  let isFailing = false;
  let asked = 0;

  const startApp = async zone => {
    const replica = await startReplica({
      id: `i-app-${zone}`,
      run: (req, res, {head, requestId, body}) => {
        record(`${replica.id} runs ${requestId} (${body})`);
        let fails = false;
        if (isFailing && zone === ZONES[0]) {
          fails = (asked * FAILING_OF_20) % 20 < FAILING_OF_20;
          asked += 1;
        }
        setTimeout(() => {
          if (!fails) return res.writeHead(200, head).end('booked');
          record(`${replica.id} answers ${requestId} with 503, not signed`);
          const echo = {'x-attempt-id': requestId};
          return res.writeHead(503, echo).end('connection to log lost');
        }, WORK_MS);
      },
    });
    cleanup(replica.close);
    store.put('servers', replica.id, replica.entry(SERVICES.app, zone));
    return replica;
  };
  const replicas = [];
  for (const zone of ZONES) replicas.push(await startApp(zone));
  store.put('config', 'main', config());

  const hosts = ZONES.map((_, i) => `127.0.11.${i + 1}`);
  const plan = await planDeployment(hosts);
  const gateways = [];
  for (const [i, zone] of ZONES.entries()) {
    const host = hosts[i];
    const name = `front-${zone}-1`;
    const gateway = await startGateway({name, host, store, zone, plan});
    cleanup(gateway.stop);
    gateways.push(gateway);
  }

  const answers = [];
  const attempt = async (booking, gateway) => {
    const id = newRequestId();
    record(`client: sends ${booking}, attempt ${id}, to ${gateway.host}`);
    const answer = await send(gateway, {
      id,
      path: '/puxa403/2f',
      body: booking,
    });
    answers.push({...answer, body: booking});
    const end = answer.complete ? `status ${answer.status}` : answer.error;
    record(`client: ${booking}, attempt ${answer.id}: ${end}`);
    return answer;
  };
  /** A client retries once, on a new connection, after a promise only. */
  const book = async i => {
    const booking = `booking-${i}`;
    const first = await attempt(booking, gateways[i % gateways.length]);
    if (!PROMISES.includes(first.status)) return;
    const seconds = Number(first.headers['retry-after'] ?? 0);
    await sleep(Math.min(seconds * 1_000, 1_000));
    await attempt(booking, gateways[(i + 1) % gateways.length]);
  };

  const bookings = [];
  const bookFor = async ms => {
    const until = Date.now() + ms;
    while (Date.now() < until) {
      bookings.push(book(bookings.length));
      await sleep(INTERVAL_MS);
    }
  };
  await bookFor(CALM_MS);
  record(`disruption begins: ${hasTrouble}`);
  isFailing = hasTrouble;
  await bookFor(TROUBLE_MS);
  isFailing = false;
  record('disruption ends');
  await bookFor(CALM_MS);
  await Promise.all(bookings);

  const ran = new Map(
    replicas.flatMap(({runs}) => runs.map(run => [run.id, run.server])),
  );
  record(`${answers.length} attempts, ${ran.size} of them ran`);
  bookings.forEach((_, i) => {
    const attempts = answers.filter(({body}) => body === `booking-${i}`);
    const times = attempts.filter(({id}) => ran.has(id)).length;
    if (times > 1) record(`booking-${i} was made ${times} times`);
  });
  return answers
    .filter(({id, status}) => PROMISES.includes(status) && ran.has(id))
    .map(
      ({id, status}) =>
        `attempt ${id} was answered ${status} and has run at ${ran.get(id)}`,
    );
});
